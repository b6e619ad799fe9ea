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
 * Counts the requests of callers in the metrics and against the objectives.
 *
 * <p>Counters against objectives live in memory: a daemon that restarts begins with none. Safe for
 * use by several threads; takes one lock for a few instructions per request.
 */
@Singleton
public final class CallMetrics implements CallObserver {
    private static final int SERVER_ERROR = 500;

    private final MetricRegistry mMetrics;
    private final DecisionLog mDecisions;
    private final Clock mClock;
    private final BurnCounters mBurn = new BurnCounters();

    /** Creates the counters; objectives follow the configuration. */
    @Inject
    public CallMetrics(
            MetricRegistry metrics, ConfigSource config, DecisionLog decisions, Clock clock) {
        mMetrics = metrics;
        mDecisions = decisions;
        mClock = clock;
        mBurn.setObjectives(config.current().objectives());
        config.onChange(c -> mBurn.setObjectives(c.objectives()));
    }

    @Override
    public void ended(Ended call) {
        boolean limited = call.kind().equals(ErrorKind.RATE_LIMITED.wireName());
        if (call.admitted()) {
            mMetrics.meter("rate.admitted").mark();
        } else if (limited) {
            mMetrics.meter("rate.refused").mark();
        }
        if (refused(call)) {
            mMetrics.meter("refusals{kind=\"" + call.kind() + "\"}").mark();
        }
        if (call.service() != null) {
            String labels = "{service=\"" + call.service().value() + "\"";
            mMetrics.meter("calls" + labels + ",outcome=\"" + call.kind() + "\"}").mark();
            mMetrics.timer("call" + labels + "}")
                    .update(call.durationMillis(), TimeUnit.MILLISECONDS);
            count(call);
        }
        if (call.refusal() != null && call.program() != null && call.workspace() != null) {
            mDecisions.recordRefused(
                    call.program(), call.request(), call.workspace(), call.refusal());
        }
    }

    private static boolean refused(Ended call) {
        return !call.kind().equals("ok")
                && !call.kind().equals("disconnected")
                && ErrorKind.fromWireName(call.kind()).notRunByDefault();
    }

    /**
     * Counts a call against the objectives. A caller that went away and a refusal for the caller's
     * own fault, such as its rate or its budget, say nothing about the service and do not count.
     */
    private void count(Ended call) {
        boolean answered = call.kind().equals("ok");
        if (call.kind().equals("disconnected")
                || !answered && ErrorKind.fromWireName(call.kind()).httpStatus() < SERVER_ERROR) {
            return;
        }
        mBurn.record(
                call.service(),
                call.workspace(),
                call.durationMillis(),
                answered && call.status() < SERVER_ERROR,
                mClock.millis());
    }

    /** Returns the calls counted against the objectives so far. */
    public BurnSnapshot burn() {
        return mBurn.snapshot();
    }
}
