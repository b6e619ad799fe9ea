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
 * Sends orders that are never repeated, and compares what their callers were told with the effects
 * that targets recorded; sends requests that must be refused. Used by one thread.
 */
final class RefusalProbe {
    private static final long PERIOD_MILLIS = 60;

    private final LocalDeployment mDeployment;
    private final Violations mViolations;
    private final AtomicBoolean mStop;
    private final CallerClient mClient;
    private final Set<String> mNotRun = new HashSet<>();
    private final Set<String> mDone = new HashSet<>();
    final AtomicLong mSent = new AtomicLong();
    final AtomicLong mUnknown = new AtomicLong();

    RefusalProbe(LocalDeployment deployment, Violations violations, AtomicBoolean stop) {
        mDeployment = deployment;
        mViolations = violations;
        mStop = stop;
        mClient = new CallerClient(deployment.callerUrls(), 1);
    }

    void run(String key, String foreignKey) {
        for (int i = 0; !mStop.get(); i++) {
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
                mDone.add(id);
            } else if (result.getLeft().notRun()) {
                mNotRun.add(id);
            } else {
                mUnknown.incrementAndGet();
            }
            if (i % 10 == 0) {
                sendForbidden(foreignKey);
            }
            Pauses.pause(PERIOD_MILLIS);
        }
    }

    /** Uses a program of another workspace, and no key at all. */
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
                    Promise.WORKSPACE_ISOLATION,
                    foreign ? "a foreign program was used" : "a call without a key ran");
        }
    }

    /** Compares with the effects that the targets recorded. */
    void judge() throws IOException {
        Map<String, Integer> effects = new HashMap<>();
        JsonNode list = mDeployment.stats().read("/effects").path("effects");
        for (JsonNode effect : list) {
            effects.merge(effect.path("request").asText(), 1, Integer::sum);
        }
        for (String id : mNotRun) {
            if (effects.containsKey(id)) {
                mViolations.add(Promise.TRUE_NOT_RUN, id + " was refused as not run and ran");
            }
        }
        for (String id : mDone) {
            int count = effects.getOrDefault(id, 0);
            if (count != 1) {
                mViolations.add(
                        count == 0 ? Promise.WHOLE_ANSWERS : Promise.AT_MOST_ONCE,
                        id + " was answered and ran " + count + " times");
            }
        }
    }

    int notRun() {
        return mNotRun.size();
    }
}
