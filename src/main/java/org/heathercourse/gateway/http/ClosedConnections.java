package org.heathercourse.gateway.http;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;

/**
 * Counts the connections that a limit for untrusted callers closes, and logs the counts at most
 * once in a period, as a crowd would fill the log. Written on the traffic loop; counts can be read
 * by any thread.
 */
public final class ClosedConnections {
    private static final long LOG_PERIOD_MILLIS = 10_000;
    private static final EventLog LOG = EventLog.of(ClosedConnections.class);

    /** Limit that closed a connection. */
    public enum Cause {
        /** No memory was left for an unfinished message. */
        MEMORY,
        /** The number of open connections reached its limit. */
        CONNECTIONS,
        /** The head of a request did not arrive in time. */
        TIMEOUT;

        private String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private final Ticker mTicker;
    private final Map<Cause, Long> mCounts = new EnumMap<>(Cause.class);
    private long mNextLogMillis = Long.MIN_VALUE;

    /**
     * Creates an object without counts.
     *
     * @param ticker monotonic clock
     */
    public ClosedConnections(Ticker ticker) {
        mTicker = ticker;
    }

    /** Records a connection that is closed. */
    synchronized void record(Cause cause) {
        mCounts.merge(cause, 1L, Long::sum);
        long nowMillis = mTicker.readMillis();
        if (nowMillis >= mNextLogMillis) {
            mNextLogMillis = nowMillis + LOG_PERIOD_MILLIS;
            LOG.warn("callers_closed", "cause", cause.text(), "counts", mCounts);
        }
    }

    /** Returns how many connections a limit has closed. */
    public synchronized long count(Cause cause) {
        return mCounts.getOrDefault(cause, 0L);
    }
}
