package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a program, a chain of dependent calls of one workspace. Immutable.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ : -}
 */
public record ProgramId(@JsonValue String value) implements Comparable<ProgramId> {
    /**
     * Validates the identity.
     *
     * @throws IllegalArgumentException if the value is null or malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ProgramId {
        Identities.requireValid("ProgramId", value);
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
