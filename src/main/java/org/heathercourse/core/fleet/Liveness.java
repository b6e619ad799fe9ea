package org.heathercourse.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.time.SuspendAwareClock;

/**
 * Detects which gateways are live from the heartbeats in their rows.
 *
 * <p>A gateway is live while its heartbeat has changed within the last {@link #MISSED_PERIODS} of
 * its periods, measured by the observer. After a time in which the observer could not read the
 * rows, this time starts again for all gateways, because they may have been unable to write as
 * well. Not safe for use by several threads.
 */
public final class Liveness {
    /** Maximum number of heartbeat periods without a change for a live gateway. */
    public static final int MISSED_PERIODS = 3;

    private final SuspendAwareClock mClock;
    private final Map<VmId, ObservedHeartbeat> mObserved = new HashMap<>();
    private SuspendAwareClock.Timestamp mLastRead;

    /** The latest heartbeat of a gateway and the time at which it was first seen. */
    private record ObservedHeartbeat(
            long incarnation, long heartbeat, SuspendAwareClock.Timestamp firstSeen) {}

    /**
     * Creates an observer that has not read any rows.
     *
     * @param clock clock that counts suspensions of the VM
     */
    public Liveness(SuspendAwareClock clock) {
        mClock = clock;
    }

    /**
     * Records the rows that were read one period after the previous ones.
     *
     * @param rows rows of all members
     * @return the live members
     */
    public Fleet update(List<Member> rows) {
        return update(rows, 1);
    }

    /**
     * Records the rows that were read.
     *
     * @param rows rows of all members
     * @param plannedPeriods periods after the previous read at which this one was planned
     * @return the live members
     */
    public Fleet update(List<Member> rows, int plannedPeriods) {
        SuspendAwareClock.Timestamp now = mClock.now();
        List<Member> live = new ArrayList<>();
        Map<VmId, ObservedHeartbeat> observed = new HashMap<>();
        for (Member row : rows) {
            ObservedHeartbeat previous = mObserved.get(row.vm());
            boolean changed =
                    previous == null
                            || previous.incarnation() != row.incarnation()
                            || previous.heartbeat() != row.heartbeat();
            boolean longReadGap =
                    mLastRead != null
                            && mClock.millisSince(mLastRead)
                                    > row.periodMillis() * (plannedPeriods + 1);
            ObservedHeartbeat current =
                    changed || longReadGap
                            ? new ObservedHeartbeat(row.incarnation(), row.heartbeat(), now)
                            : previous;
            observed.put(row.vm(), current);
            long unchangedMillis = mClock.millisSince(current.firstSeen());
            if (unchangedMillis <= MISSED_PERIODS * row.periodMillis()) {
                live.add(row);
            }
        }
        mObserved.clear();
        mObserved.putAll(observed);
        mLastRead = now;
        return new Fleet(live);
    }

    /**
     * Returns whether the heartbeat of a gateway has not changed for a given time.
     *
     * @param vm VM of the gateway
     * @param unchangedMillis time in milliseconds
     * @return false also if no row of the VM has been read
     */
    public boolean heartbeatUnchangedFor(VmId vm, long unchangedMillis) {
        ObservedHeartbeat observed = mObserved.get(vm);
        return observed != null && mClock.millisSince(observed.firstSeen()) >= unchangedMillis;
    }
}
