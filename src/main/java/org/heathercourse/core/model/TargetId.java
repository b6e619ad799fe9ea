package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a target, which is a model engine or an instance of a plain service. Immutable.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ : -}
 */
public record TargetId(@JsonValue String value) implements Comparable<TargetId> {
    /**
     * Validates the identity.
     *
     * @throws IllegalArgumentException if the value is null or malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public TargetId {
        Identities.requireValid("TargetId", value);
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
