package org.heathercourse.core.crash;

import java.util.Comparator;

/**
 * The end of a target's process while it ran a request. Immutable.
 *
 * @param target identity of the process that ended
 * @param observer identity of the gateway whose clock both times are of
 * @param startedMillis wall-clock time in milliseconds since the epoch at which the request was
 *     sent to the target; always before {@code endedMillis}
 * @param endedMillis wall-clock time in milliseconds since the epoch at which the target ended
 */
public record Crash(String target, String observer, long startedMillis, long endedMillis)
        implements Comparable<Crash> {
    /** Maximum difference in milliseconds that is expected between the clocks of two gateways. */
    static final long CLOCK_TOLERANCE_MILLIS = 500;

    private static final Comparator<Crash> BY_END =
            Comparator.comparingLong(Crash::endedMillis)
                    .thenComparingLong(Crash::startedMillis)
                    .thenComparing(Crash::target)
                    .thenComparing(Crash::observer);

    /** Lets a run last 1 ms at least, so that of two crashes only one can be after the other. */
    public Crash {
        if (target == null || observer == null) {
            throw new IllegalArgumentException("a crash needs a target and an observer");
        }
        startedMillis = Math.min(startedMillis, endedMillis - 1);
    }

    /**
     * Returns whether the run that this crash ended began after another crash. Targets that end at
     * the same time, such as those of a rack, have runs that overlap.
     */
    boolean beganAfter(Crash earlier) {
        long toleranceMillis = observer.equals(earlier.observer) ? 0 : CLOCK_TOLERANCE_MILLIS;
        return startedMillis >= earlier.endedMillis + toleranceMillis;
    }

    /** Orders crashes by the time of their ends. */
    @Override
    public int compareTo(Crash other) {
        return BY_END.compare(this, other);
    }
}
