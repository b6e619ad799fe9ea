package org.heathercourse.platform.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.heathercourse.core.routing.KeyPolicy;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.routing.Workspace;

/**
 * Decodes the workspaces of a configuration. One that cannot be read is left out, so that its keys
 * are refused. Stateless and thread-safe.
 */
final class WorkspaceDecoder {
    private WorkspaceDecoder() {}

    /**
     * Adds the declared workspaces to a table. A field that is not a list declares none, so that no
     * key is valid; only a configuration without the field needs no keys.
     *
     * @param workspaces the field; null if the configuration does not contain it
     * @param table receives the workspaces and the problems
     */
    static void addAll(JsonNode workspaces, RoutingTable.Builder table) {
        if (workspaces == null) {
            table.keyPolicy(KeyPolicy.NO_KEYS);
            return;
        }
        table.keyPolicy(KeyPolicy.KEYS_REQUIRED);
        if (workspaces.isArray()) {
            workspaces.forEach(workspace -> add(workspace, table));
        } else {
            table.problem("the field of the workspaces is not a list");
        }
    }

    private static void add(JsonNode workspace, RoutingTable.Builder table) {
        String name = workspace.path("name").textValue();
        if (name == null || name.isEmpty()) {
            table.problem("a workspace has no name");
            return;
        }
        OptionalDouble ratePerSecond = PermissionFields.number(workspace, "requests_per_s", table);
        OptionalDouble burst = PermissionFields.number(workspace, "burst", table);
        if (ratePerSecond.isEmpty() || burst.isEmpty()) {
            return;
        }
        JsonNode priority = workspace.path("priority");
        table.workspace(
                new Workspace(
                        name,
                        PermissionFields.texts(workspace, "api_keys", table),
                        priority.isNumber()
                                ? OptionalInt.of(priority.asInt())
                                : OptionalInt.empty(),
                        ratePerSecond.getAsDouble(),
                        burst.getAsDouble(),
                        PermissionFields.regions(workspace, "allowed_regions", table)));
    }
}
