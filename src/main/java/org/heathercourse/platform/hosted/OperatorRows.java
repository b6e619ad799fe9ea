package org.heathercourse.platform.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.routing.CallerLimits;
import org.heathercourse.core.routing.Route;
import org.heathercourse.core.routing.RouteKind;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.routing.Service;
import org.heathercourse.core.routing.ServiceWeight;
import org.heathercourse.core.target.Target;
import org.heathercourse.platform.entry.DeclaredRows;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.StoredRow;

/** Decodes the rows that operators and targets write on this platform. Immutable. */
final class OperatorRows implements DeclaredRows {
    /** Maximum number of connections to a target whose service declares none. */
    private static final int DEFAULT_MAX_CONNECTIONS = 128;

    /** Time in seconds for which histories are kept if the route declares none. */
    private static final double DEFAULT_RETENTION_SECONDS = 60;

    private static final double MILLIS_PER_SECOND = 1_000;

    @Override
    public RowKey configurationRow() {
        return new RowKey(WireNames.OPERATOR_TABLE, "", WireNames.CONFIGURATION_KEY);
    }

    @Override
    public Optional<Zone> evacuatedZone(RowKey key) {
        if (!key.table().equals(WireNames.OPERATOR_TABLE)
                || !key.part().isEmpty()
                || !key.key().startsWith(WireNames.EVACUATION_PREFIX)) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Zone(key.key().substring(WireNames.EVACUATION_PREFIX.length())));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public boolean isEvacuation(StoredRow row) {
        try {
            JsonNode value = Json.read(row.value());
            return value != null && value.isObject();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public String targetTable() {
        return WireNames.TARGET_TABLE;
    }

    @Override
    public RoutingTable routingTable(StoredRow row) {
        JsonNode config = parse(row);
        RoutingTable.Builder table = RoutingTable.builder(config.path("version").asLong());
        for (JsonNode route : config.path("routes")) {
            table.route(route(route, table));
        }
        for (JsonNode service : config.path("services")) {
            table.service(service(service));
        }
        WorkspaceDecoder.addAll(config.get("tenants"), table);
        return table.limits(limits(config.path("limits"))).build();
    }

    private static JsonNode parse(StoredRow row) {
        try {
            JsonNode config = Json.read(row.value());
            if (config != null && config.isObject()) {
                return config;
            }
        } catch (IOException e) {
            throw unreadable(row, e);
        }
        throw unreadable(row, null);
    }

    private static HeathercourseException unreadable(StoredRow row, Exception cause) {
        return HeathercourseException.builder(ErrorKind.BAD_REQUEST)
                .message(
                        "row "
                                + row.key()
                                + " version "
                                + row.version()
                                + " is not a JSON object, expected a configuration")
                .remedy("write a valid configuration; the previous one stays in force")
                .cause(cause)
                .build();
    }

    private static Route route(JsonNode route, RoutingTable.Builder problems) {
        return Route.builder()
                .name(route.path("name").asText())
                .host(route.path("host").asText())
                .prefix(route.path("prefix").asText("/"))
                .kind(kind(route.path("type").asText()))
                .services(services(route))
                .timeoutMillis(route.path("timeout_ms").asLong(60_000))
                .objectiveMillis(route.path("target_latency_ms").asLong(1_000))
                .maxTargets(Math.max(1, route.path("attempts").asInt(1)))
                .priority(route.path("priority").asInt(0))
                .allowsAnonymous(PermissionFields.isTrue(route, "public", problems))
                .resumable(route.path("resumable").asBoolean(false))
                .sessionAffinity(route.path("session_affinity").asBoolean(false))
                .retainsHistory(route.path("retains_history").asBoolean(false))
                .retentionMillis(retentionMillis(route.path("retention_s")))
                .allowedRegions(PermissionFields.regions(route, "allowed_regions", problems))
                .build();
    }

    private static long retentionMillis(JsonNode seconds) {
        return (long) (seconds.asDouble(DEFAULT_RETENTION_SECONDS) * MILLIS_PER_SECOND);
    }

    /** Converts a route type; an unknown one is treated as non-idempotent, the most restrictive. */
    private static RouteKind kind(String type) {
        return switch (type) {
            case "idempotent" -> RouteKind.IDEMPOTENT;
            case "streaming" -> RouteKind.STREAMING;
            default -> RouteKind.NON_IDEMPOTENT;
        };
    }

    /** Returns the services of a route, which names either one service or several with weights. */
    private static List<ServiceWeight> services(JsonNode route) {
        List<ServiceWeight> services = new ArrayList<>();
        for (JsonNode split : route.path("traffic_split")) {
            services.add(
                    new ServiceWeight(
                            split.path("service").asText(), split.path("weight").asDouble()));
        }
        if (services.isEmpty()) {
            services.add(new ServiceWeight(route.path("service").asText(), 1));
        }
        return services;
    }

    private static Service service(JsonNode service) {
        JsonNode engine = service.path("engine");
        return new Service(
                service.path("name").asText(),
                service.path("connection_limit").asInt(DEFAULT_MAX_CONNECTIONS),
                engine.isObject(),
                engine.path("stride").asInt(0),
                service.path("cold_per_s").asDouble(0),
                (long) (service.path("cold_start_s").asDouble(0) * MILLIS_PER_SECOND));
    }

    private static CallerLimits limits(JsonNode limits) {
        CallerLimits defaults = CallerLimits.DEFAULTS;
        return new CallerLimits(
                limits.path("max_header_bytes").asInt(defaults.maxHeaderBytes()),
                limits.path("max_body_bytes").asLong(defaults.maxBodyBytes()),
                limits.path("header_timeout_ms").asLong(defaults.headerTimeoutMillis()),
                limits.path("idle_timeout_ms").asLong(defaults.idleTimeoutMillis()));
    }

    @Override
    public Optional<Target> target(StoredRow row) {
        return TargetRow.decode(row);
    }
}
