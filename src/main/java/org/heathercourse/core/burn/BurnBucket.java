package org.heathercourse.core.burn;

/**
 * Good and bad calls of one objective in one time bucket, as exchanged between daemons. Immutable.
 *
 * @param key the objective
 * @param widthMillis length of the bucket in milliseconds
 * @param startEpochMillis wall-clock start of the bucket in milliseconds
 * @param good number of calls that met the objective
 * @param bad number of calls that did not
 */
public record BurnBucket(
        ObjectiveKey key, long widthMillis, long startEpochMillis, int good, int bad) {}
