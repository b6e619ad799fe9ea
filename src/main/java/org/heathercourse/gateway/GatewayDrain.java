package org.heathercourse.gateway;

import org.heathercourse.core.drain.DrainSchedule;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;

/**
 * The planned stop of a gateway: serves callers that cached its address, waits for the requests
 * that have begun and ends before the stop grace period does. Used by one thread.
 */
final class GatewayDrain {
    /**
     * Maximum time in milliseconds for which a leaving gateway admits all requests: callers keep an
     * address for two seconds, and learn within another one that a gateway leaves. It is 100 ms
     * shorter than that, because the signal takes a moment to arrive.
     */
    private static final long MAX_SERVE_MILLIS = 2_900;

    /** The same as a fraction of the stop grace period, for short ones. */
    private static final double MAX_SERVE_FRACTION = 3.0 / 8;

    /**
     * Maximum time in milliseconds between the last response and the end of the stop grace period.
     */
    private static final long MAX_RESPONSE_MARGIN_MILLIS = 800;

    /** The same as a fraction of the stop grace period, for short ones. */
    private static final double MAX_RESPONSE_MARGIN_FRACTION = 0.15;

    /**
     * Maximum time in milliseconds after the last response in which turns are settled and unused
     * budget tokens are returned.
     */
    static final long MAX_TOKEN_RETURN_MILLIS = 300;

    /** Time in milliseconds that the process has to exit before the stop grace period ends. */
    private static final long EXIT_MILLIS = 100;

    private static final long POLL_MILLIS = 100;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final Gateway mGateway;
    private final Ticker mTicker;

    /**
     * Creates a stop that has not begun.
     *
     * @param gateway gateway to stop
     * @param ticker monotonic clock
     */
    GatewayDrain(Gateway gateway, Ticker ticker) {
        mGateway = gateway;
        mTicker = ticker;
    }

    /**
     * Returns the schedule of a stop.
     *
     * @param startMillis ticker time of the stop signal
     * @param settings settings of the gateway, which have the grace period
     */
    static DrainSchedule schedule(long startMillis, Settings settings) {
        long graceMillis = graceMillis(settings);
        long marginMillis =
                (long)
                        Math.min(
                                MAX_RESPONSE_MARGIN_MILLIS,
                                graceMillis * MAX_RESPONSE_MARGIN_FRACTION);
        long serveMillis = (long) Math.min(MAX_SERVE_MILLIS, graceMillis * MAX_SERVE_FRACTION);
        return DrainSchedule.of(startMillis, serveMillis, graceMillis - marginMillis);
    }

    private static long graceMillis(Settings settings) {
        return (long) (settings.decimal(Setting.STOP_GRACE_SECONDS) * MILLIS_PER_SECOND);
    }

    /**
     * Returns the time in milliseconds that a stop may wait for the return of budget tokens.
     *
     * @param leavingMillis time since the stop signal, in milliseconds
     * @param settings settings of the gateway, which have the grace period
     */
    static long maxTokenReturnMillis(long leavingMillis, Settings settings) {
        long leftMillis = graceMillis(settings) - EXIT_MILLIS - leavingMillis;
        return Math.max(0, Math.min(MAX_TOKEN_RETURN_MILLIS, leftMillis));
    }

    /**
     * Stops the gateway; returns when the process may exit.
     *
     * @param signalMillis ticker time at which the stop signal was received
     * @throws InterruptedException if the thread is interrupted
     */
    void run(long signalMillis) throws InterruptedException {
        DrainSchedule schedule = mGateway.leave(signalMillis);
        Thread.sleep(schedule.millisToServeEnd(mTicker.readMillis()));
        while (mGateway.isBusy()
                && schedule.millisToResponseEnd(mTicker.readMillis()) > POLL_MILLIS) {
            Thread.sleep(POLL_MILLIS);
        }
        mGateway.stop(Math.max(1, schedule.millisToResponseEnd(mTicker.readMillis())));
        mGateway.close();
    }
}
