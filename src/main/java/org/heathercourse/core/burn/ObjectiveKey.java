package org.heathercourse.core.burn;

import org.heathercourse.core.config.ObjectiveSpec;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Identifies an objective by the service and workspace that it applies to. Immutable.
 *
 * @param service the service
 * @param workspace the workspace; null for all workspaces
 */
public record ObjectiveKey(ServiceId service, WorkspaceId workspace) {
    /** Returns the key of an objective. */
    public static ObjectiveKey of(ObjectiveSpec objective) {
        return new ObjectiveKey(objective.service(), objective.workspace());
    }

    /** Returns the name of the workspace in reports, {@code all} for all workspaces. */
    public String workspaceName() {
        return workspace == null ? "all" : workspace.value();
    }
}
