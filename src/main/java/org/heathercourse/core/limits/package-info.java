/** Rate limits of workspaces: token buckets, shares of a rate and the ledger of a grantor. */
package org.heathercourse.core.limits;
