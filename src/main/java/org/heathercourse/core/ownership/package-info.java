/** The list of daemons, the assignment of shards to them and the rules of their leases. */
package org.heathercourse.core.ownership;
