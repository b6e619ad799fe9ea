package org.heathercourse.testing.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.CallFailure;
import org.heathercourse.testing.load.CallerClient;
import org.heathercourse.testing.load.Pauses;

/**
 * Sends orders without retries and compares their outcomes with the effects recorded by the
 * targets; sends requests that must be refused. Not safe for use by several threads; {@link
 * #checkEffects} is for use after {@link #run} has ended.
 */
final class RefusalProbe {
    private static final long PERIOD_MILLIS = 60;

    private final LocalDeployment mDeployment;
    private final Violations mViolations;
    private final AtomicBoolean mStopped;
    private final CallerClient mClient;
    private final Set<String> mNotRun = new HashSet<>();
    private final Set<String> mAnswered = new HashSet<>();
    final AtomicLong mSent = new AtomicLong();
    final AtomicLong mUnknownOutcomes = new AtomicLong();

    RefusalProbe(LocalDeployment deployment, Violations violations, AtomicBoolean stopped) {
        mDeployment = deployment;
        mViolations = violations;
        mStopped = stopped;
        mClient = new CallerClient(deployment.callerUrls(), 1);
    }

    void run(String key, String foreignKey) {
        for (int i = 0; !mStopped.get(); i++) {
            String id = "single-" + i;
            Either<CallFailure, CallerClient.Answer> result =
                    mClient.send(
                            "POST",
                            "/v1/services/works/orders/" + id,
                            key,
                            "{}",
                            "Idempotency-Key",
                            id);
            mSent.incrementAndGet();
            if (result.isRight()) {
                mAnswered.add(id);
            } else if (result.getLeft().notRun()) {
                mNotRun.add(id);
            } else {
                mUnknownOutcomes.incrementAndGet();
            }
            if (i % 10 == 0) {
                sendForbidden(foreignKey);
            }
            Pauses.pause(PERIOD_MILLIS);
        }
    }

    /**
     * Sends a call of another workspace's program and a call without a valid key; both must be
     * refused.
     */
    private void sendForbidden(String foreignKey) {
        String body =
                "{\"model\":\"planner-large\",\"messages\":"
                        + "[{\"role\":\"user\",\"content\":\"foreign\"}]}";
        boolean foreign =
                mClient.send(
                                "POST",
                                "/v1/chat/completions",
                                foreignKey,
                                body,
                                "X-Program-Id",
                                "takeover-0",
                                "Idempotency-Key",
                                "foreign")
                        .isRight();
        boolean keyless = mClient.send("GET", "/v1/services/works/stock", "none", null).isRight();
        if (foreign || keyless) {
            mViolations.add(
                    Guarantee.WORKSPACE_ISOLATION,
                    foreign
                            ? "a call of another workspace's program ran"
                            : "a call without a valid key ran");
        }
    }

    /**
     * Compares the outcomes of the orders with the effects recorded by the targets.
     *
     * @throws IOException if the effects cannot be read
     */
    void checkEffects() throws IOException {
        Map<String, Integer> effects = new HashMap<>();
        JsonNode recorded = mDeployment.stats().read("/effects").path("effects");
        for (JsonNode effect : recorded) {
            effects.merge(effect.path("request").asText(), 1, Integer::sum);
        }
        for (String id : mNotRun) {
            if (effects.containsKey(id)) {
                mViolations.add(Guarantee.TRUE_NOT_RUN, id + " was refused as not run but ran");
            }
        }
        for (String id : mAnswered) {
            int count = effects.getOrDefault(id, 0);
            if (count != 1) {
                mViolations.add(
                        count == 0 ? Guarantee.WHOLE_ANSWERS : Guarantee.AT_MOST_ONCE,
                        id + " was answered but ran " + count + " times instead of once");
            }
        }
    }

    /** Returns the number of orders refused as not run. */
    int notRunCount() {
        return mNotRun.size();
    }
}
