/** Picks a target and a priority for each call of a daemon. */
package org.heathercourse.core.placement;
