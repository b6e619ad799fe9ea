package org.heathercourse.testing.deployment;

import java.util.List;
import java.util.Map;
import org.heathercourse.ops.v1.Configuration;
import org.heathercourse.ops.v1.ModelDeclaration;
import org.heathercourse.ops.v1.RetrySafetyDeclaration;
import org.heathercourse.ops.v1.RouteDeclaration;
import org.heathercourse.ops.v1.ServiceDeclaration;
import org.heathercourse.ops.v1.ServiceKindDeclaration;
import org.heathercourse.ops.v1.StateDeclaration;
import org.heathercourse.ops.v1.TargetDeclaration;
import org.heathercourse.ops.v1.WorkspaceDeclaration;
import org.heathercourse.ops.v1.ZoneDeclaration;

/** The default configuration of local deployments: one model service and one plain service. */
final class TrialConfiguration {
    private static final String MODEL = "planner-large";
    private static final long ROUTE_TIMEOUT_MILLIS = 10_000;

    private TrialConfiguration() {}

    static Configuration create(
            int shards,
            List<String> zones,
            List<String> workspaces,
            Map<String, Integer> targetPorts,
            double ratePerSecond,
            double burst,
            long budgetTokens) {
        Configuration.Builder out = Configuration.newBuilder().setShards(shards);
        for (String zone : zones) {
            out.addZones(ZoneDeclaration.newBuilder().setZone(zone).setRegion("home"));
        }
        for (String workspace : workspaces) {
            out.addWorkspaces(
                    WorkspaceDeclaration.newBuilder()
                            .setWorkspace(workspace)
                            .setRatePerSecond(ratePerSecond)
                            .setBurst(burst)
                            .setProgramBudgetTokens(budgetTokens)
                            .setWeight(1));
        }
        out.addServices(
                ServiceDeclaration.newBuilder()
                        .setService("planner")
                        .setKind(ServiceKindDeclaration.MODEL)
                        .addModels(
                                ModelDeclaration.newBuilder()
                                        .setModel(MODEL)
                                        .setVersion("1")
                                        .setSizeBytes(16_000_000_000L)));
        out.addServices(
                ServiceDeclaration.newBuilder()
                        .setService("works")
                        .setKind(ServiceKindDeclaration.PLAIN)
                        .addRoutes(route("/", RetrySafetyDeclaration.IDEMPOTENT, false))
                        .addRoutes(route("/echo", RetrySafetyDeclaration.IDEMPOTENT, true))
                        .addRoutes(route("/orders", RetrySafetyDeclaration.NON_IDEMPOTENT, false))
                        .addRoutes(
                                route(
                                        "/confirmations",
                                        RetrySafetyDeclaration.NON_IDEMPOTENT,
                                        false)));
        int index = 0;
        for (Map.Entry<String, Integer> target : targetPorts.entrySet()) {
            String zone = zones.get(index++ % zones.size());
            out.addTargets(target(target.getKey(), target.getValue(), zone));
        }
        return out.build();
    }

    private static RouteDeclaration route(
            String prefix, RetrySafetyDeclaration safety, boolean openToAll) {
        return RouteDeclaration.newBuilder()
                .setPathPrefix(prefix)
                .setRetrySafety(safety)
                .setOpenToAll(openToAll)
                .setTimeoutMillis(ROUTE_TIMEOUT_MILLIS)
                .build();
    }

    private static TargetDeclaration target(String name, int port, String zone) {
        boolean engine = name.startsWith("engine-");
        TargetDeclaration.Builder target =
                TargetDeclaration.newBuilder()
                        .setTarget(name)
                        .setService(engine ? "planner" : "works")
                        .setZone(zone)
                        .setBaseUrl("http://127.0.0.1:" + port)
                        .setMaxConcurrency(64)
                        .setState(StateDeclaration.UP);
        if (engine) {
            int number = Integer.parseInt(name.substring("engine-".length()));
            target.addModels(MODEL).setChecksFencing(number % 2 == 1);
        }
        return target.build();
    }
}
