package org.heathercourse.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.time.SuspendAwareClock;

/**
 * Tells living gateways from dead ones by the heartbeats in their rows.
 *
 * <p>A gateway lives as long as its heartbeat changed within {@link #MISSED_PERIODS} of its
 * periods, measured by the observer. After a time in which the observer could not read, all get
 * that long again, because they may have been unable to write as well. Not safe for several
 * threads.
 */
public final class Liveness {
    /** Heartbeats that a living gateway may miss. */
    public static final int MISSED_PERIODS = 3;

    private final SuspendAwareClock mTicker;
    private final Map<VmId, Seen> mSeen = new HashMap<>();
    private SuspendAwareClock.Timestamp mLastRead;

    /** The latest heartbeat of a gateway and when it was first seen. */
    private record Seen(long incarnation, long heartbeat, SuspendAwareClock.Timestamp since) {}

    /**
     * Creates an observer that has seen nothing.
     *
     * @param ticker source of moments
     */
    public Liveness(SuspendAwareClock ticker) {
        mTicker = ticker;
    }

    /**
     * Notes the rows that were read.
     *
     * @param rows all members that have a row
     * @return the living ones
     */
    public Fleet update(List<Member> rows) {
        SuspendAwareClock.Timestamp now = mTicker.now();
        List<Member> living = new ArrayList<>();
        Map<VmId, Seen> seen = new HashMap<>();
        for (Member row : rows) {
            Seen before = mSeen.get(row.vm());
            boolean changed =
                    before == null
                            || before.incarnation() != row.incarnation()
                            || before.heartbeat() != row.heartbeat();
            boolean gap =
                    mLastRead != null && mTicker.millisSince(mLastRead) > row.periodMillis() * 2;
            Seen present =
                    changed || gap ? new Seen(row.incarnation(), row.heartbeat(), now) : before;
            seen.put(row.vm(), present);
            long silentMillis = mTicker.millisSince(present.since());
            if (silentMillis <= MISSED_PERIODS * row.periodMillis()) {
                living.add(row);
            }
        }
        mSeen.clear();
        mSeen.putAll(seen);
        mLastRead = now;
        return new Fleet(living);
    }

    /**
     * Returns whether a gateway has been silent for so long that its row can be removed.
     *
     * @param vm its VM
     * @param silentMillis time without a heartbeat in milliseconds
     */
    public boolean heartbeatUnchangedFor(VmId vm, long silentMillis) {
        Seen seen = mSeen.get(vm);
        return seen != null && mTicker.millisSince(seen.since()) >= silentMillis;
    }
}
