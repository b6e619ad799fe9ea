package org.heathercourse.testing.bench;

import io.grpc.StatusRuntimeException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.ops.ctl.OperatorConnection;
import org.heathercourse.ops.v1.GetStatusRequest;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.Pauses;

/**
 * Polls the status of every daemon and records when each configuration revision came into force
 * there.
 *
 * <p>Polling starts with the constructor and ends with {@link #close()}. Safe for use by several
 * threads.
 */
final class ConfigRevisionMonitor implements AutoCloseable {
    private final Ticker mTicker;
    private final long mPeriodMillis;
    private final List<Thread> mThreads = new ArrayList<>();
    private final List<NavigableMap<Long, Long>> mFirstSeenNanos = new ArrayList<>();
    private final AtomicInteger mRevisionDecreases = new AtomicInteger();
    private volatile boolean mStop;

    /**
     * Starts polling.
     *
     * @param deployment the deployment
     * @param daemons the daemons to poll
     * @param ticker clock for the times at which a revision was first seen
     * @param periodMillis time between two polls of a daemon, in milliseconds
     */
    ConfigRevisionMonitor(
            LocalDeployment deployment,
            List<DaemonProcess> daemons,
            Ticker ticker,
            long periodMillis) {
        mTicker = ticker;
        mPeriodMillis = periodMillis;
        for (DaemonProcess daemon : daemons) {
            NavigableMap<Long, Long> seen = new ConcurrentSkipListMap<>();
            mFirstSeenNanos.add(seen);
            OperatorConnection connection = deployment.operatorAt(daemon);
            Thread thread =
                    new Thread(() -> poll(connection, seen), "poll-" + daemon.endpoints().vm());
            thread.setDaemon(true);
            mThreads.add(thread);
            thread.start();
        }
    }

    private void poll(OperatorConnection connection, NavigableMap<Long, Long> seen) {
        long highestRevision = 0;
        try (connection) {
            while (!mStop) {
                try {
                    long revision =
                            connection
                                    .call(s -> s.getStatus(GetStatusRequest.getDefaultInstance()))
                                    .getRevision();
                    if (revision < highestRevision) {
                        mRevisionDecreases.incrementAndGet();
                        System.err.println(
                                "revision decreased from=" + highestRevision + " to=" + revision);
                    }
                    highestRevision = Math.max(highestRevision, revision);
                    seen.putIfAbsent(revision, mTicker.readNanos());
                } catch (StatusRuntimeException e) {
                    System.err.println("status poll failed cause=" + e.getStatus());
                }
                Pauses.pause(mPeriodMillis);
            }
        }
    }

    /**
     * Waits until every daemon has a revision, or a later one, in force.
     *
     * @param revision the revision
     * @param timeoutMillis maximum time to wait in milliseconds
     * @return whether it is in force everywhere
     */
    boolean await(long revision, long timeoutMillis) {
        long endMillis = mTicker.readMillis() + timeoutMillis;
        while (mTicker.readMillis() < endMillis) {
            if (mFirstSeenNanos.stream().allMatch(seen -> seen.ceilingKey(revision) != null)) {
                return true;
            }
            Pauses.pause(mPeriodMillis);
        }
        return false;
    }

    /**
     * Returns the time from an acceptance until all daemons had the revision, or a later one, in
     * force.
     *
     * @param revision the revision
     * @param acceptedNanos time of the ticker at which the operator received the acceptance
     * @return the time in milliseconds, at least 0; {@link Long#MAX_VALUE} if it was never in force
     *     at some daemon
     */
    long inForceMillis(long revision, long acceptedNanos) {
        long lastNanos = acceptedNanos;
        for (NavigableMap<Long, Long> seen : mFirstSeenNanos) {
            Map.Entry<Long, Long> first = seen.ceilingEntry(revision);
            if (first == null) {
                return Long.MAX_VALUE;
            }
            lastNanos = Math.max(lastNanos, first.getValue());
        }
        return TimeUnit.NANOSECONDS.toMillis(lastNanos - acceptedNanos);
    }

    /**
     * Returns a percentile of the times until revisions were in force.
     *
     * @param acceptedNanos time of acceptance in nanoseconds of the ticker, by revision
     * @param percentile the percentile, from 0 to 100
     * @return the time in milliseconds; times above a minute, and revisions that never came into
     *     force, count as a minute
     */
    long percentileMillis(Map<Long, Long> acceptedNanos, double percentile) {
        Histogram histogram = new Histogram(3);
        acceptedNanos.forEach(
                (revision, nanos) ->
                        histogram.recordValue(Math.min(60_000, inForceMillis(revision, nanos))));
        return histogram.getValueAtPercentile(percentile);
    }

    /** Returns how often a daemon reported a lower revision than before. */
    int revisionDecreases() {
        return mRevisionDecreases.get();
    }

    @Override
    public void close() {
        mStop = true;
        for (Thread thread : mThreads) {
            try {
                thread.join(TimeUnit.SECONDS.toMillis(20));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
