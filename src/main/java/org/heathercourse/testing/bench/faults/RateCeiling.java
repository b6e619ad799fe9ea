package org.heathercourse.testing.bench.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Checks a rate and burst from outside.
 *
 * <p>A request was admitted at some time between its sending and its answer. The requests whose
 * whole interval lies in a window were certainly admitted in it, so that more of them than the
 * burst and the rate allow prove a violation, however long single requests took. Safe for use by
 * several threads.
 */
public final class RateCeiling {
    /** Rounding of the clock's readings to milliseconds. */
    private static final double TOLERANCE = 1.0;

    private final double mRatePerSecond;
    private final double mBurst;
    private final List<long[]> mAdmitted = new ArrayList<>();

    /**
     * Creates a check.
     *
     * @param ratePerSecond the rate
     * @param burst the burst
     */
    public RateCeiling(double ratePerSecond, double burst) {
        mRatePerSecond = ratePerSecond;
        mBurst = burst;
    }

    /**
     * Notes an admitted request.
     *
     * @param sentMillis when it was sent
     * @param answeredMillis when it was answered
     */
    public synchronized void admitted(long sentMillis, long answeredMillis) {
        mAdmitted.add(new long[] {sentMillis, answeredMillis});
    }

    /** Returns the greatest number of requests above the ceiling in any window. */
    public synchronized long excess() {
        List<long[]> bySent = new ArrayList<>(mAdmitted);
        bySent.sort(Comparator.comparingLong(r -> r[0]));
        long worst = 0;
        for (int first = 0; first < bySent.size(); first++) {
            long start = bySent.get(first)[0];
            long[] ends =
                    bySent.subList(first, bySent.size()).stream()
                            .mapToLong(r -> r[1])
                            .sorted()
                            .toArray();
            for (int count = 1; count <= ends.length; count++) {
                double seconds = (ends[count - 1] - start) / 1_000.0;
                double allowed = mBurst + mRatePerSecond * seconds + TOLERANCE;
                worst = Math.max(worst, (long) Math.ceil(count - allowed));
            }
        }
        return worst;
    }
}
