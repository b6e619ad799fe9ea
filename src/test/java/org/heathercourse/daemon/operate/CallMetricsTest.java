package org.heathercourse.daemon.operate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.groups.Tuple.tuple;

import com.codahale.metrics.MetricRegistry;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.function.Consumer;
import org.heathercourse.core.burn.BurnBucket;
import org.heathercourse.core.burn.BurnSnapshot;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.ObjectiveSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.daemon.call.DecisionLog;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.http.CallObserver.EndedRequest;
import org.heathercourse.ops.BurnMapper;
import org.junit.jupiter.api.Test;

/** Tests the objective counters, the metrics and the decision log entries of requests. */
class CallMetricsTest {
    private static final ServiceId SERVICE = new ServiceId("weave");
    private static final WorkspaceId WORKSPACE = new WorkspaceId("berzins");
    private static final Clock CLOCK =
            Clock.fixed(Instant.ofEpochSecond(1_000_000), ZoneOffset.UTC);

    private final MetricRegistry mMetrics = new MetricRegistry();
    private final DecisionLog mDecisions = new DecisionLog(CLOCK);
    private final CallMetrics mCalls =
            new CallMetrics(mMetrics, new FakeConfigSource(), mDecisions, CLOCK);

    private static final class FakeConfigSource implements ConfigSource {
        @Override
        public DeploymentConfig current() {
            return DeploymentConfig.empty().toBuilder()
                    .objectives(
                            List.of(
                                    new ObjectiveSpec(SERVICE, WORKSPACE, 100, 0.99, 30),
                                    new ObjectiveSpec(SERVICE, null, 100, 0.99, 30)))
                    .build();
        }

        @Override
        public boolean isFresh() {
            return true;
        }

        @Override
        public void onChange(Consumer<DeploymentConfig> listener) {}
    }

    private void end(WorkspaceId workspace, String kind, int status, long millis) {
        HeathercourseException refusal =
                kind.equals("ok")
                        ? null
                        : new HeathercourseException(ErrorKind.fromWireName(kind), "no", "wait");
        boolean admitted = !kind.equals("rate_limited");
        mCalls.onRequestEnded(
                new EndedRequest(
                        SERVICE, workspace, admitted, "p-1", "r", kind, status, refusal, millis));
    }

    /**
     * Guards against counting rate limit refusals against the objectives, or not counting refusals
     * under overload.
     */
    @Test
    void countsOnlyFailuresOfTheService() {
        end(WORKSPACE, "ok", 200, 100);
        end(WORKSPACE, "ok", 404, 1);
        end(null, "ok", 200, 1);
        end(WORKSPACE, "ok", 200, 101);
        end(WORKSPACE, "ok", 502, 1);
        end(WORKSPACE, "overloaded", 503, 1);
        end(WORKSPACE, "rate_limited", 429, 1);
        end(WORKSPACE, "disconnected", 200, 1);
        BurnSnapshot sent = BurnMapper.toCore(BurnMapper.toSchema(mCalls.burn()));
        assertThat(sent.buckets())
                .filteredOn(b -> b.widthMillis() == 60_000)
                .extracting(b -> b.key().workspaceName(), BurnBucket::good, BurnBucket::bad)
                .containsExactlyInAnyOrder(tuple("berzins", 2, 3), tuple("all", 3, 3));
        String calls = "calls{service=\"weave\",outcome=\"overloaded\"}";
        assertThat(mMetrics.meter(calls).getCount()).isEqualTo(1);
        assertThat(mMetrics.meter("refusals{kind=\"overloaded\"}").getCount()).isEqualTo(1);
        assertThat(mMetrics.meter("rate.refused").getCount()).isEqualTo(1);
        assertThat(mMetrics.meter("rate.admitted").getCount()).isEqualTo(7);
    }

    /**
     * Guards against refusals missing from the decision log, and against unbounded growth of the
     * log.
     */
    @Test
    void keepsBoundedHistoryOfRefusals() {
        for (int i = 0; i < DecisionLog.CAPACITY + 10; i++) {
            end(WORKSPACE, "rate_limited", 429, 1);
        }
        assertThat(mDecisions.findByProgram("p-2", 10)).isEmpty();
        assertThat(mDecisions.findByProgram("p-1", Integer.MAX_VALUE))
                .hasSize(DecisionLog.CAPACITY);
        assertThat(mDecisions.findByProgram("p-1", 1).get(0).errorKind()).isEqualTo("rate_limited");
    }
}
