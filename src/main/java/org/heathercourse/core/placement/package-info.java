/** Chooses a target and a priority for each call. */
package org.heathercourse.core.placement;
