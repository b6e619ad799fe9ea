package org.heathercourse.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.heathercourse.core.time.SuspendAwareClock;

/**
 * The views of the fleet that this gateway has had recently.
 *
 * <p>A duty that several gateways share under a common bound may be taken over only when the others
 * have noticed that it moved. A gateway therefore acts on what holds in all its recent views, and
 * not at all while its view is unknown, old or new. Thread-safe.
 */
public final class FleetHistory {
    /**
     * Heartbeat periods for which a view counts as recent. Other gateways read a change of the rows
     * within {@link Liveness#MISSED_PERIODS}, the longest time between two of their reads.
     */
    static final int SETTLE_PERIODS = Liveness.MISSED_PERIODS + 1;

    /**
     * Heartbeat periods without a read after which a view is too old. Others declare a gateway dead
     * after {@link Liveness#MISSED_PERIODS} and take over its duties after {@link #SETTLE_PERIODS}
     * more, so that a gateway that is cut off has stopped before.
     */
    static final int MAX_AGE_PERIODS = Liveness.MISSED_PERIODS + SETTLE_PERIODS - 1;

    private final SuspendAwareClock mClock;
    private final Deque<View> mViews = new ArrayDeque<>();
    private List<Fleet> mRecent = List.of();
    private SuspendAwareClock.Timestamp mKnownSince;
    private SuspendAwareClock.Timestamp mLastRead;
    private long mPeriodMillis;

    /** A view and the time from which it was in force. */
    private record View(Fleet fleet, SuspendAwareClock.Timestamp since) {}

    /**
     * Creates a history without views.
     *
     * @param clock clock that counts suspensions of the VM
     */
    public FleetHistory(SuspendAwareClock clock) {
        mClock = clock;
    }

    /**
     * Records the live gateways as of a read of their rows.
     *
     * @param fleet the live gateways
     */
    public synchronized void record(Fleet fleet) {
        SuspendAwareClock.Timestamp now = mClock.now();
        if (mLastRead == null || isOutdated()) {
            mViews.clear();
            mKnownSince = now;
        }
        if (mViews.isEmpty() || fleet.differsFrom(mViews.getLast().fleet())) {
            mViews.addLast(new View(fleet, now));
            updateRecent();
        }
        mLastRead = now;
        mPeriodMillis = fleet.members().stream().mapToLong(Member::periodMillis).max().orElse(0);
    }

    /**
     * Returns the views that were in force within the last {@link #SETTLE_PERIODS}, the same list
     * as long as they are the same; empty if the gateway has known the fleet for a shorter time, or
     * has not read it for {@link #MAX_AGE_PERIODS}.
     */
    public synchronized List<Fleet> recentViews() {
        long settleMillis = SETTLE_PERIODS * mPeriodMillis;
        if (mLastRead == null || isOutdated() || mClock.millisSince(mKnownSince) < settleMillis) {
            return List.of();
        }
        boolean removed = false;
        while (mViews.size() > 1 && isOverFor(settleMillis)) {
            mViews.removeFirst();
            removed = true;
        }
        if (removed) {
            updateRecent();
        }
        return mRecent;
    }

    /** Returns whether the second oldest view has replaced the oldest one for a time. */
    private boolean isOverFor(long millis) {
        SuspendAwareClock.Timestamp end = mViews.stream().skip(1).findFirst().orElseThrow().since();
        return mClock.millisSince(end) > millis;
    }

    private boolean isOutdated() {
        return mClock.millisSince(mLastRead) > MAX_AGE_PERIODS * mPeriodMillis;
    }

    private void updateRecent() {
        mRecent = mViews.stream().map(View::fleet).toList();
    }
}
