/** The list of daemons, the assignment of shards to daemons, and the rules of their leases. */
package org.heathercourse.core.ownership;
