package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a program: a chain of dependent calls of one workspace.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ : -}
 */
public record ProgramId(@JsonValue String value) implements Comparable<ProgramId> {
    /**
     * Checks the characters of the identity.
     *
     * @throws IllegalArgumentException if the value has another form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ProgramId {
        Names.check("ProgramId", value);
    }

    @Override
    public int compareTo(ProgramId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
