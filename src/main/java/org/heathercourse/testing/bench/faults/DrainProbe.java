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

/**
 * Drains targets repeatedly and checks that no request is dispatched to them later than allowed.
 * Used by one thread.
 */
final class DrainProbe {
    private static final long MAX_DISPATCH_DELAY_MILLIS = 5_000;
    private static final long OBSERVE_MILLIS = 9_000;

    private final LocalDeployment mDeployment;
    private final Violations mViolations;
    private final AtomicBoolean mStopped;

    DrainProbe(LocalDeployment deployment, Violations violations, AtomicBoolean stopped) {
        mDeployment = deployment;
        mViolations = violations;
        mStopped = stopped;
    }

    void run() {
        for (int i = 0; !mStopped.get(); i++) {
            String target = i % 2 == 0 ? "works-2" : "engine-2";
            if (setState(target, StateDeclaration.DRAINING)) {
                try {
                    checkArrivals(target);
                } catch (IOException e) {
                    System.err.println("cannot read the arrivals cause=" + e.getMessage());
                }
            }
            while (!setState(target, StateDeclaration.UP)) {
                Pauses.pause(500);
            }
            Pauses.pause(3_000);
        }
    }

    private void checkArrivals(String target) throws IOException {
        JsonNode stats = mDeployment.stats().read("/stats");
        long acceptedMillis = stats.path("now_ms").asLong();
        long lastChecked = stats.path("arrivals").asLong();
        Pauses.pause(OBSERVE_MILLIS);
        long lastArrival = mDeployment.stats().read("/stats").path("arrivals").asLong();
        while (lastChecked < lastArrival) {
            JsonNode arrivals =
                    mDeployment.stats().read("/arrivals?since=" + lastChecked).path("arrivals");
            for (JsonNode arrival : arrivals) {
                lastChecked = arrival.path("number").asLong();
                long delayMillis = arrival.path("at_ms").asLong() - acceptedMillis;
                if (arrival.path("target").asText().equals(target)
                        && delayMillis > MAX_DISPATCH_DELAY_MILLIS) {
                    mViolations.add(
                            Guarantee.LEAVING_TARGET,
                            target
                                    + " received a request "
                                    + delayMillis
                                    + " ms after its draining was accepted");
                }
            }
            if (arrivals.isEmpty()) {
                return;
            }
        }
    }

    private boolean setState(String target, StateDeclaration state) {
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
