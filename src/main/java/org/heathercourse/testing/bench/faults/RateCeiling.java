package org.heathercourse.testing.bench.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Checks a rate and a burst from the times at which callers sent requests and received answers.
 *
 * <p>A request is admitted at an unknown time between its sending and its answer. Requests whose
 * whole interval lies in a window were certainly admitted in that window, so more of them than
 * burst and rate allow prove a violation, regardless of the latency of single requests. Safe for
 * use by several threads.
 */
public final class RateCeiling {
    /** Tolerance for times that are rounded to milliseconds, in requests. */
    private static final double TOLERANCE_REQUESTS = 1.0;

    private final double mRatePerSecond;
    private final double mBurst;
    private final List<long[]> mAdmitted = new ArrayList<>();

    /**
     * Creates a check.
     *
     * @param ratePerSecond the rate in requests per second
     * @param burst the burst in requests
     */
    public RateCeiling(double ratePerSecond, double burst) {
        mRatePerSecond = ratePerSecond;
        mBurst = burst;
    }

    /**
     * Records an admitted request.
     *
     * @param sentMillis time at which it was sent
     * @param answeredMillis time at which its answer was received
     */
    public synchronized void recordAdmission(long sentMillis, long answeredMillis) {
        mAdmitted.add(new long[] {sentMillis, answeredMillis});
    }

    /** Returns the maximum number of requests above burst and rate in any window. */
    public synchronized long maxExcess() {
        List<long[]> bySent = new ArrayList<>(mAdmitted);
        bySent.sort(Comparator.comparingLong(r -> r[0]));
        long maxExcess = 0;
        for (int first = 0; first < bySent.size(); first++) {
            long start = bySent.get(first)[0];
            long[] answers =
                    bySent.subList(first, bySent.size()).stream()
                            .mapToLong(r -> r[1])
                            .sorted()
                            .toArray();
            for (int count = 1; count <= answers.length; count++) {
                double seconds = (answers[count - 1] - start) / 1_000.0;
                double allowed = mBurst + mRatePerSecond * seconds + TOLERANCE_REQUESTS;
                maxExcess = Math.max(maxExcess, (long) Math.ceil(count - allowed));
            }
        }
        return maxExcess;
    }
}
