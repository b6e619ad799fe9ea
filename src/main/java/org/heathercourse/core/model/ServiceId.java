package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a declared service. Immutable.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ : -}
 */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {
    /**
     * Validates the identity.
     *
     * @throws IllegalArgumentException if the value is null or malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ServiceId {
        Identities.requireValid("ServiceId", value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
