package org.heathercourse.core.burn;

/**
 * Calls against one objective in a stretch of time, as daemons exchange them. Immutable.
 *
 * @param key the objective
 * @param widthMillis length of the bucket in milliseconds
 * @param startEpochMillis wall-clock start of the bucket in milliseconds
 * @param good calls that met the objective
 * @param bad calls that did not
 */
public record BurnBucket(
        ObjectiveKey key, long widthMillis, long startEpochMillis, int good, int bad) {}
