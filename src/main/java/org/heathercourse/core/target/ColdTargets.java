package org.heathercourse.core.target;

import java.util.HashMap;
import java.util.Map;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.Service;
import org.heathercourse.core.time.Ticker;

/**
 * Which targets are cold, from their rows, their responses and the ends of evacuations. A target
 * counts as cold as long as any of these says so. Thread-safe.
 */
public final class ColdTargets {
    /** Longest time in milliseconds for which a target counts as cold, whatever it says itself. */
    static final long MAX_COLD_MILLIS = 3_600_000;

    /** Number of targets above which those that are no longer cold are forgotten. */
    private static final int MAX_RETAINED_TARGETS = 4_096;

    private final Ticker mTicker;
    private final Map<String, ColdTimes> mByIncarnation = new HashMap<>();
    private final Map<Zone, Long> mEvacuationEndMillis = new HashMap<>();

    /** Until when a target is cold, in milliseconds of the ticker. */
    private record ColdTimes(long rowVersion, long rowUntilMillis, long responseUntilMillis) {
        static final ColdTimes NONE = new ColdTimes(0, Long.MIN_VALUE, Long.MIN_VALUE);

        boolean isCold(long nowMillis) {
            return nowMillis < rowUntilMillis || nowMillis < responseUntilMillis;
        }
    }

    /**
     * Creates a record without cold targets.
     *
     * @param ticker monotonic clock; a time for which it stands still makes targets cold for longer
     */
    public ColdTargets(Ticker ticker) {
        mTicker = ticker;
    }

    /**
     * Records what a row says; the time counts from now. A version of a row counts once, as it may
     * be read again much later.
     *
     * @param target target of the row
     * @param rowVersion version of the row
     * @return whether the target was not cold before and is now
     */
    public synchronized boolean recordRow(Target target, long rowVersion) {
        ColdTimes before = mByIncarnation.getOrDefault(target.incarnation(), ColdTimes.NONE);
        if (rowVersion <= before.rowVersion()
                || target.coldRemainingMillis() == 0 && before == ColdTimes.NONE) {
            return false;
        }
        return put(
                target,
                before,
                new ColdTimes(
                        rowVersion,
                        untilMillis(target.coldRemainingMillis()),
                        before.responseUntilMillis()));
    }

    /**
     * Records what a target says in a response; the time counts from now. It never shortens the
     * time, as the response may be older than the row.
     *
     * @param target the target
     * @param remainingMillis time for which it is cold, in milliseconds
     * @return whether the target was not cold before and is now
     */
    public synchronized boolean recordResponse(Target target, long remainingMillis) {
        ColdTimes before = mByIncarnation.getOrDefault(target.incarnation(), ColdTimes.NONE);
        if (remainingMillis <= 0) {
            return false;
        }
        return put(
                target,
                before,
                new ColdTimes(
                        before.rowVersion(),
                        before.rowUntilMillis(),
                        Math.max(before.responseUntilMillis(), untilMillis(remainingMillis))));
    }

    private long untilMillis(long remainingMillis) {
        return mTicker.readMillis() + Math.min(remainingMillis, MAX_COLD_MILLIS);
    }

    private boolean put(Target target, ColdTimes before, ColdTimes after) {
        long now = mTicker.readMillis();
        if (mByIncarnation.size() >= MAX_RETAINED_TARGETS) {
            mByIncarnation.values().removeIf(times -> !times.isCold(now));
        }
        mByIncarnation.put(target.incarnation(), after);
        return after.isCold(now) && !before.isCold(now);
    }

    /**
     * Records that the evacuation of a zone has ended: all its targets are cold for the time that
     * their service declares, even if their rows do not say so yet.
     */
    public synchronized void recordEvacuationEnd(Zone zone) {
        mEvacuationEndMillis.put(zone, mTicker.readMillis());
    }

    /**
     * Returns whether a target is cold.
     *
     * @param target the target
     * @param service its service
     */
    public synchronized boolean isCold(Target target, Service service) {
        long now = mTicker.readMillis();
        Long evacuationEnd = mEvacuationEndMillis.get(target.zone());
        return evacuationEnd != null && now < evacuationEnd + service.coldStartMillis()
                || mByIncarnation.getOrDefault(target.incarnation(), ColdTimes.NONE).isCold(now);
    }

    /** Returns the number of targets that are cold by their own word. */
    public synchronized int count() {
        long now = mTicker.readMillis();
        return (int) mByIncarnation.values().stream().filter(times -> times.isCold(now)).count();
    }
}
