package org.heathercourse.daemon.peer;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Set;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;

/**
 * The accepted connections whose handshake has not completed. Their number is bounded, because
 * anybody can open them; beyond the bound the oldest one is closed, as a sound peer completes its
 * handshake within a few round trips. Thread-safe.
 */
final class Handshakes {
    private static final long LOG_PERIOD_MILLIS = 10_000;
    private static final EventLog LOG = EventLog.of(Handshakes.class);

    private final int mMaxCount;
    private final Ticker mTicker;
    private final Set<Channel> mChannels = new LinkedHashSet<>();
    private long mClosedCount;
    private long mNextLogMillis = Long.MIN_VALUE;

    Handshakes(int maxCount, Ticker ticker) {
        mMaxCount = maxCount;
        mTicker = ticker;
    }

    /** Adds an accepted connection, and closes the oldest one if there are too many. */
    synchronized void add(Channel channel) {
        if (mChannels.size() >= mMaxCount) {
            Channel oldest = mChannels.iterator().next();
            mChannels.remove(oldest);
            mClosedCount++;
            log();
            oldest.close();
        }
        mChannels.add(channel);
    }

    private void log() {
        long nowMillis = mTicker.readMillis();
        if (nowMillis >= mNextLogMillis) {
            mNextLogMillis = nowMillis + LOG_PERIOD_MILLIS;
            LOG.warn("peer_handshakes_closed", "count", mClosedCount);
        }
    }

    /** Removes a connection that is authenticated or closed. */
    synchronized void remove(Channel channel) {
        mChannels.remove(channel);
    }

    /** Returns how many connections were closed because there were too many. */
    synchronized long closedCount() {
        return mClosedCount;
    }
}
