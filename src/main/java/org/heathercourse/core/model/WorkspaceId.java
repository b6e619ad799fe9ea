package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a workspace, the customer on whose behalf programs run.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ : -}
 */
public record WorkspaceId(@JsonValue String value) implements Comparable<WorkspaceId> {
    /**
     * Checks the characters of the identity.
     *
     * @throws IllegalArgumentException if the value has another form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public WorkspaceId {
        Names.check("WorkspaceId", value);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
