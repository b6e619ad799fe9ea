package org.heathercourse.gateway.history;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowStore;

/**
 * Tells whether the store replied recently. After a failed call, the store is probed until it
 * replies, so that no turn has to find out. Safe for use by several threads.
 */
final class StoreAvailability {
    /** Time in milliseconds without a reply, with failed calls, until the store is unavailable. */
    static final long MAX_SILENCE_MILLIS = 1_000;

    /** Interval of probes in milliseconds. */
    static final long PROBE_INTERVAL_MILLIS = 250;

    /** A row that never exists: the keys of turns contain a slash. */
    private static final RowKey PROBE_ROW = new RowKey(TurnKeys.TURN_TABLE, "0", "probe");

    private static final EventLog LOG = EventLog.of(StoreAvailability.class);

    private final RowStore mStore;
    private final ScheduledExecutorService mControl;
    private final SuspendAwareClock mClock;
    private SuspendAwareClock.Timestamp mLastReply;
    private SuspendAwareClock.Timestamp mSilentSince;
    private boolean mFailedSinceReply;
    private boolean mProbing;

    StoreAvailability(RowStore store, ScheduledExecutorService control, SuspendAwareClock clock) {
        mStore = store;
        mControl = control;
        mClock = clock;
        mLastReply = clock.now();
        mSilentSince = mLastReply;
    }

    synchronized boolean isAvailable() {
        return !mFailedSinceReply || mClock.millisSince(mSilentSince) < MAX_SILENCE_MILLIS;
    }

    /** Records a reply of the store, whatever it says, that shows that it executes calls. */
    synchronized void recordReply() {
        if (!isAvailable()) {
            LOG.info("history_store_available", "silentMillis", mClock.millisSince(mSilentSince));
        }
        mLastReply = mClock.now();
        mFailedSinceReply = false;
    }

    /**
     * Records a call that the store did not execute or reply to.
     *
     * @param begun time when the call began
     */
    synchronized void recordFailure(SuspendAwareClock.Timestamp begun) {
        if (!mFailedSinceReply) {
            mFailedSinceReply = true;
            // Without calls since the last reply, nothing is known of the time before this one.
            boolean isBegunLater = begun.tickerMillis() > mLastReply.tickerMillis();
            mSilentSince = isBegunLater ? begun : mLastReply;
        }
        if (!mProbing) {
            mProbing = true;
            long delayMillis = isAvailable() ? PROBE_INTERVAL_MILLIS : 0;
            mControl.schedule(this::probe, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void probe() {
        synchronized (this) {
            mProbing = mFailedSinceReply;
            if (!mProbing) {
                return;
            }
            if (!isAvailable()) {
                LOG.info(
                        "history_store_unavailable",
                        "silentMillis",
                        mClock.millisSince(mSilentSince));
            }
        }
        mControl.schedule(this::probe, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        mStore.read(PROBE_ROW)
                .whenComplete(
                        (row, error) -> {
                            if (error == null) {
                                recordReply();
                            }
                        });
    }
}
