package org.heathercourse.testing.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import org.heathercourse.ops.v1.SetStateRequest;
import org.heathercourse.ops.v1.StateDeclaration;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.Pauses;

/** Drains a target again and again and looks for work that it is given too late. One thread. */
final class DrainProbe {
    private static final long BOUND_MILLIS = 5_000;
    private static final long OBSERVE_MILLIS = 9_000;

    private final LocalDeployment mDeployment;
    private final Violations mViolations;
    private final AtomicBoolean mStop;

    DrainProbe(LocalDeployment deployment, Violations violations, AtomicBoolean stop) {
        mDeployment = deployment;
        mViolations = violations;
        mStop = stop;
    }

    void run() {
        for (int i = 0; !mStop.get(); i++) {
            String target = i % 2 == 0 ? "works-2" : "engine-2";
            if (set(target, StateDeclaration.DRAINING)) {
                try {
                    observe(target);
                } catch (IOException e) {
                    System.err.println("arrivals cannot be read: " + e.getMessage());
                }
            }
            while (!set(target, StateDeclaration.UP)) {
                Pauses.pause(500);
            }
            Pauses.pause(3_000);
        }
    }

    private void observe(String target) throws IOException {
        JsonNode stats = mDeployment.stats().read("/stats");
        long accepted = stats.path("now_ms").asLong();
        long seen = stats.path("arrivals").asLong();
        Pauses.pause(OBSERVE_MILLIS);
        long last = mDeployment.stats().read("/stats").path("arrivals").asLong();
        while (seen < last) {
            JsonNode arrivals =
                    mDeployment.stats().read("/arrivals?since=" + seen).path("arrivals");
            for (JsonNode arrival : arrivals) {
                seen = arrival.path("number").asLong();
                long late = arrival.path("at_ms").asLong() - accepted;
                if (arrival.path("target").asText().equals(target) && late > BOUND_MILLIS) {
                    mViolations.add(
                            Promise.LEAVING_TARGET,
                            target + " got work " + late + " ms after it was drained");
                }
            }
            if (arrivals.isEmpty()) {
                return;
            }
        }
    }

    private boolean set(String target, StateDeclaration state) {
        SetStateRequest request =
                SetStateRequest.newBuilder()
                        .setTarget(target)
                        .setState(state)
                        .setChangeId(UUID.randomUUID().toString())
                        .build();
        try {
            mDeployment.operator().call(stub -> stub.setState(request));
            return true;
        } catch (StatusRuntimeException e) {
            return false;
        }
    }
}
