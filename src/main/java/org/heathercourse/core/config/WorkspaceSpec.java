package org.heathercourse.core.config;

import java.util.List;
import org.heathercourse.core.model.WorkspaceId;

/**
 * A declared workspace.
 *
 * @param workspace identity of the workspace
 * @param keys keys, withdrawn ones included
 * @param ratePerSecond requests per second over the whole fleet
 * @param burst most requests at once over the whole fleet
 * @param programBudgetTokens tokens that a program may spend unless it asks for fewer
 * @param weight share of engine time relative to other workspaces, 1 by default
 */
public record WorkspaceSpec(
        WorkspaceId workspace,
        List<KeySpec> keys,
        double ratePerSecond,
        double burst,
        long programBudgetTokens,
        double weight) {
    /** Copies the list of keys and fills in defaults. */
    public WorkspaceSpec {
        keys = keys == null ? List.of() : List.copyOf(keys);
        weight = weight == 0 ? 1 : weight;
    }

    /** Returns a copy with other keys. */
    public WorkspaceSpec withKeys(List<KeySpec> newKeys) {
        return new WorkspaceSpec(
                workspace, newKeys, ratePerSecond, burst, programBudgetTokens, weight);
    }
}
