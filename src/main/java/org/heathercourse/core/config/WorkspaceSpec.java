package org.heathercourse.core.config;

import java.util.List;
import org.heathercourse.core.model.WorkspaceId;

/**
 * A declared workspace. Immutable.
 *
 * @param workspace identity of the workspace
 * @param keys keys, including withdrawn ones
 * @param ratePerSecond rate limit over all daemons in requests per second
 * @param burst maximum burst over all daemons in requests
 * @param programBudgetTokens token budget of a program that does not request a smaller one
 * @param weight share of engine time relative to other workspaces, 1 by default
 */
public record WorkspaceSpec(
        WorkspaceId workspace,
        List<KeySpec> keys,
        double ratePerSecond,
        double burst,
        long programBudgetTokens,
        double weight) {
    /** Copies the list of keys and applies the defaults. */
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
