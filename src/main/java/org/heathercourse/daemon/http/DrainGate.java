package org.heathercourse.daemon.http;

import java.util.Optional;
import org.heathercourse.core.drain.DrainSchedule;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.time.Ticker;

/**
 * Admits the requests of callers during a planned stop. The state changes from open to leaving to
 * closed. Safe for use by several threads.
 */
final class DrainGate {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final Ticker mTicker;
    private volatile DrainSchedule mSchedule = DrainSchedule.NOT_LEAVING;
    private volatile boolean mClosed;

    /**
     * Creates an open gate.
     *
     * @param ticker monotonic clock
     */
    DrainGate(Ticker ticker) {
        mTicker = ticker;
    }

    /** Starts a planned stop with the given times. */
    void leave(DrainSchedule schedule) {
        mSchedule = schedule;
    }

    /** Refuses all requests from now on; admitted requests are not affected. */
    void close() {
        mClosed = true;
    }

    /** Returns whether the daemon leaves. */
    boolean isLeaving() {
        return mSchedule.isLeaving();
    }

    /** Returns the time since the stop signal in milliseconds, or -1 if the daemon stays. */
    long millisSinceSignal() {
        return mSchedule.millisSinceStart(mTicker.readMillis());
    }

    /**
     * Checks that a request which starts now ends before the daemon exits.
     *
     * @param maxDurationMillis time in milliseconds after which the request ends in any case
     * @throws HeathercourseException of kind {@code DRAINING}, not run, if it may not start
     */
    void requireTime(long maxDurationMillis) {
        if (mClosed || !mSchedule.admits(mTicker.readMillis(), maxDurationMillis)) {
            throw HeathercourseException.builder(ErrorKind.DRAINING)
                    .message("the daemon is stopping and cannot end the request in time")
                    .remedy("send the request to another daemon")
                    .notRun(true)
                    .retryAfterMillis(RETRY_AFTER_MILLIS)
                    .build();
        }
    }

    /**
     * Returns the error that ends a running request, which may have run, because the daemon is
     * about to exit; empty while the request may continue.
     */
    Optional<HeathercourseException> cutOff() {
        if (!isLeaving() || mSchedule.millisToResponseEnd(mTicker.readMillis()) > 0) {
            return Optional.empty();
        }
        return Optional.of(
                HeathercourseException.builder(ErrorKind.OUTCOME_UNKNOWN)
                        .message("the daemon stops before the request has ended")
                        .remedy("repeat a request with an identity at another daemon")
                        .build());
    }
}
