package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.placement.CacheChange;
import org.heathercourse.core.placement.LoadReport;

/** Carries lagging load reports and late cache events with gaps from engines to daemons. */
final class Telemetry {
    private static final double PERIOD_MILLIS = 500;
    private static final double MIN_REPORT_LAG_MILLIS = 100;
    private static final double MAX_REPORT_LAG_MILLIS = 600;
    private static final double MIN_EVENT_LAG_MILLIS = 500;
    private static final double MAX_EVENT_LAG_MILLIS = 3_000;
    private static final double EVENT_LOSS = 0.05;

    private final EventLoop mLoop;
    private final Scenario mScenario;
    private final Router mRouter;
    private final List<EngineModel> mEngines;
    private final SplittableRandom mRandom;
    private final double[][] mReportLag;
    private final double[][] mEventLag;

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
        mReportLag = lags(MIN_REPORT_LAG_MILLIS, MAX_REPORT_LAG_MILLIS);
        mEventLag = lags(MIN_EVENT_LAG_MILLIS, MAX_EVENT_LAG_MILLIS);
    }

    /** A fixed lag for each daemon and engine, so that nothing is reordered. */
    private double[][] lags(double min, double max) {
        double[][] lags = new double[mScenario.daemons()][mEngines.size()];
        for (double[] row : lags) {
            for (int i = 0; i < row.length; i++) {
                row[i] = min + (max - min) * mRandom.nextDouble();
            }
        }
        return lags;
    }

    void start(BooleanSupplier running) {
        mLoop.after(
                PERIOD_MILLIS,
                () -> {
                    for (int i = 0; i < mEngines.size(); i++) {
                        if (mEngines.get(i).alive()) {
                            publish(i);
                        }
                    }
                    if (running.getAsBoolean()) {
                        start(running);
                    }
                });
    }

    private void publish(int engine) {
        TargetId target = mScenario.engineId(engine);
        List<CacheChange> events = mEngines.get(engine).takeEvents();
        for (int d = 0; d < mScenario.daemons(); d++) {
            int daemon = d;
            double lag = mReportLag[d][engine];
            LoadReport report =
                    mEngines.get(engine).report(List.of(mScenario.model()), Math.round(lag));
            mLoop.after(lag, () -> mRouter.report(daemon, target, report, mLoop.nowMillis()));
            List<CacheChange> heard = new ArrayList<>(events);
            heard.removeIf(e -> mRandom.nextDouble() < EVENT_LOSS);
            mLoop.after(
                    mEventLag[d][engine],
                    () -> mRouter.cacheEvents(daemon, target, heard, mLoop.nowMillis()));
        }
    }
}
