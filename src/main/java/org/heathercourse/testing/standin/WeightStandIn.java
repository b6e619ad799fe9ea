package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.heathercourse.core.time.Ticker;

/** An HTTP weight store that serves one fetch at a time at a fixed bandwidth. Thread-safe. */
final class WeightStandIn implements HttpPort.Handler {
    private final Ticker mTicker;
    private final long mBytesPerSecond;
    private final long mModelBytes;
    private long mBusyUntilNanos;
    private int mActiveFetches;
    private long mFetches;

    WeightStandIn(Ticker ticker, long bytesPerSecond, long modelBytes) {
        mTicker = ticker;
        mBytesPerSecond = bytesPerSecond;
        mModelBytes = modelBytes;
        mBusyUntilNanos = ticker.readNanos();
    }

    @Override
    public void handle(Exchange exchange) {
        if (!exchange.path().equals("/status")) {
            exchange.error(404, "no such path: " + exchange.path(), true);
            return;
        }
        ObjectNode json = Exchange.JSON.createObjectNode();
        synchronized (this) {
            json.put("bytes_per_second", mBytesPerSecond).put("active_fetches", mActiveFetches);
        }
        exchange.reply(200, json);
    }

    /** Enqueues the fetch of a model; returns the time until it completes in nanoseconds. */
    synchronized long startFetch() {
        long now = mTicker.readNanos();
        long durationNanos = (long) (mModelBytes * 1e9 / mBytesPerSecond);
        mBusyUntilNanos = Math.max(now, mBusyUntilNanos) + durationNanos;
        mActiveFetches++;
        mFetches++;
        return mBusyUntilNanos - now;
    }

    /** Counts a fetch as completed. */
    synchronized void endFetch() {
        mActiveFetches--;
    }

    /** Adds the counters to the statistics. */
    synchronized void addTo(ObjectNode stats) {
        stats.put("weight_fetches", mFetches);
    }
}
