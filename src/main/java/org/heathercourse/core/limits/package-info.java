/** Rate buckets, shares of a workspace's rate and the ledger of a grantor. */
package org.heathercourse.core.limits;
