package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.placement.CacheChange;
import org.heathercourse.core.placement.LoadReport;

/**
 * Delivers load reports and cache events from engines to daemons, both with a lag and some events
 * lost. Not safe for use by several threads.
 */
final class Telemetry {
    private static final double PERIOD_MILLIS = 500;
    private static final double MIN_REPORT_LAG_MILLIS = 100;
    private static final double MAX_REPORT_LAG_MILLIS = 600;
    private static final double MIN_EVENT_LAG_MILLIS = 500;
    private static final double MAX_EVENT_LAG_MILLIS = 3_000;
    private static final double EVENT_LOSS_PROBABILITY = 0.05;

    private final EventLoop mLoop;
    private final Scenario mScenario;
    private final Router mRouter;
    private final List<EngineModel> mEngines;
    private final SplittableRandom mRandom;
    private final double[][] mReportLagMillis;
    private final double[][] mEventLagMillis;

    Telemetry(
            EventLoop loop,
            Scenario scenario,
            Router router,
            List<EngineModel> engines,
            SplittableRandom random) {
        mLoop = loop;
        mScenario = scenario;
        mRouter = router;
        mEngines = engines;
        mRandom = random;
        mReportLagMillis = drawLags(MIN_REPORT_LAG_MILLIS, MAX_REPORT_LAG_MILLIS);
        mEventLagMillis = drawLags(MIN_EVENT_LAG_MILLIS, MAX_EVENT_LAG_MILLIS);
    }

    /** Draws a fixed lag for each daemon and engine, so that messages are not reordered. */
    private double[][] drawLags(double min, double max) {
        double[][] lags = new double[mScenario.daemons()][mEngines.size()];
        for (double[] row : lags) {
            for (int i = 0; i < row.length; i++) {
                row[i] = min + (max - min) * mRandom.nextDouble();
            }
        }
        return lags;
    }

    /** Publishes periodically until the condition is false. */
    void start(BooleanSupplier isRunning) {
        mLoop.scheduleAfter(
                PERIOD_MILLIS,
                () -> {
                    for (int i = 0; i < mEngines.size(); i++) {
                        if (mEngines.get(i).isAlive()) {
                            publish(i);
                        }
                    }
                    if (isRunning.getAsBoolean()) {
                        start(isRunning);
                    }
                });
    }

    private void publish(int engine) {
        TargetId target = mScenario.engineId(engine);
        List<CacheChange> events = mEngines.get(engine).drainEvents();
        for (int d = 0; d < mScenario.daemons(); d++) {
            int daemon = d;
            double lagMillis = mReportLagMillis[d][engine];
            LoadReport report =
                    mEngines.get(engine).report(List.of(mScenario.model()), Math.round(lagMillis));
            mLoop.scheduleAfter(
                    lagMillis,
                    () -> mRouter.onLoadReport(daemon, target, report, mLoop.nowMillis()));
            List<CacheChange> received = new ArrayList<>(events);
            received.removeIf(e -> mRandom.nextDouble() < EVENT_LOSS_PROBABILITY);
            mLoop.scheduleAfter(
                    mEventLagMillis[d][engine],
                    () -> mRouter.onCacheEvents(daemon, target, received, mLoop.nowMillis()));
        }
    }
}
