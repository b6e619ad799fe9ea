package org.heathercourse.daemon.operate;

import com.codahale.metrics.MetricRegistry;
import java.time.Clock;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.heathercourse.core.burn.BurnCounters;
import org.heathercourse.core.burn.BurnSnapshot;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.daemon.call.DecisionLog;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.http.CallObserver;

/**
 * Records caller requests in the metrics and against the service-level objectives.
 *
 * <p>The objective counters are kept in memory only, so a restarted daemon starts without any. Safe
 * for use by several threads; each request holds one lock for a few instructions.
 */
@Singleton
public final class CallMetrics implements CallObserver {
    private static final int SERVER_ERROR = 500;

    private final MetricRegistry mMetrics;
    private final DecisionLog mDecisionLog;
    private final Clock mClock;
    private final BurnCounters mBurnCounters = new BurnCounters();

    /** Creates the recorder; the objectives are updated with the configuration. */
    @Inject
    public CallMetrics(
            MetricRegistry metrics, ConfigSource config, DecisionLog decisions, Clock clock) {
        mMetrics = metrics;
        mDecisionLog = decisions;
        mClock = clock;
        mBurnCounters.setObjectives(config.current().objectives());
        config.onChange(c -> mBurnCounters.setObjectives(c.objectives()));
    }

    @Override
    public void onRequestEnded(EndedRequest request) {
        boolean rateLimited = request.kind().equals(ErrorKind.RATE_LIMITED.wireName());
        if (request.admitted()) {
            mMetrics.meter("rate.admitted").mark();
        } else if (rateLimited) {
            mMetrics.meter("rate.refused").mark();
        }
        if (isRefused(request)) {
            mMetrics.meter("refusals{kind=\"" + request.kind() + "\"}").mark();
        }
        if (request.service() != null) {
            String labels = "{service=\"" + request.service().value() + "\"";
            mMetrics.meter("calls" + labels + ",outcome=\"" + request.kind() + "\"}").mark();
            mMetrics.timer("call" + labels + "}")
                    .update(request.durationMillis(), TimeUnit.MILLISECONDS);
            countAgainstObjectives(request);
        }
        if (request.refusal() != null && request.program() != null && request.workspace() != null) {
            mDecisionLog.recordRefused(
                    request.program(), request.request(), request.workspace(), request.refusal());
        }
    }

    private static boolean isRefused(EndedRequest request) {
        return !request.kind().equals("ok")
                && !request.kind().equals("disconnected")
                && ErrorKind.fromWireName(request.kind()).notRunByDefault();
    }

    /**
     * Counts a request against the objectives. Disconnected callers, and refusals caused by the
     * caller such as an exceeded rate or budget, are no evidence about the service and are not
     * counted.
     */
    private void countAgainstObjectives(EndedRequest request) {
        boolean answered = request.kind().equals("ok");
        if (request.kind().equals("disconnected")
                || !answered
                        && ErrorKind.fromWireName(request.kind()).httpStatus() < SERVER_ERROR) {
            return;
        }
        mBurnCounters.record(
                request.service(),
                request.workspace(),
                request.durationMillis(),
                answered && request.status() < SERVER_ERROR,
                mClock.millis());
    }

    /** Returns a snapshot of the objective counters. */
    public BurnSnapshot burn() {
        return mBurnCounters.snapshot();
    }
}
