package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a target: a model engine or an instance of a plain service.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ : -}
 */
public record TargetId(@JsonValue String value) implements Comparable<TargetId> {
    /**
     * Checks the characters of the identity.
     *
     * @throws IllegalArgumentException if the value has another form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public TargetId {
        Names.check("TargetId", value);
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
