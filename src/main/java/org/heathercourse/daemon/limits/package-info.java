/**
 * Rate limits of workspaces across all daemons: admission at each daemon from its share of the
 * rate, and grantors that divide the rate into shares.
 */
package org.heathercourse.daemon.limits;
