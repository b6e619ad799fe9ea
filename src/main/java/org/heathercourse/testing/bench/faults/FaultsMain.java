package org.heathercourse.testing.bench.faults;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.heathercourse.testing.deployment.LocalDeployment;

/** Starts a local deployment and runs the fault-injection bench on it. Stateless. */
public final class FaultsMain {
    private static final int ENGINES = 3;

    private FaultsMain() {}

    /**
     * Runs the bench and prints the JSON result as the last line of standard output.
     *
     * @param seed seed of programs and faults
     * @param seconds duration of the fault injection in seconds
     * @param daemons number of daemons, at least 3
     * @return the number of violations
     * @throws Exception if the deployment cannot be started
     */
    public static long run(long seed, long seconds, int daemons) throws Exception {
        System.err.println("seed=" + seed);
        try (LocalDeployment deployment =
                LocalDeployment.builder()
                        .daemons(daemons)
                        .engines(ENGINES)
                        .plain(2)
                        .proxies(true)
                        .workspaces(
                                List.of(
                                        "loom-hall",
                                        "harbour-mill",
                                        "dance-school",
                                        "probe-shop",
                                        "key-shop",
                                        "rate-shop"))
                        .rateOf("rate-shop", FaultsRun.RATE_PER_SECOND, FaultsRun.BURST)
                        .environment(Map.of("HEATHERCOURSE_IDLE_PROGRAM_SECONDS", "100"))
                        .standInFlags(List.of("--engine-ms-per-token", "3"))
                        .build()
                        .start()) {
            System.err.println("log directory=" + deployment.directory());
            ObjectNode result = new FaultsRun(deployment, ENGINES, seed, seconds * 1_000).run();
            long violations = 0;
            for (JsonNode count : result.path("violations")) {
                violations += count.asLong();
            }
            System.out.println(result);
            return violations;
        }
    }
}
