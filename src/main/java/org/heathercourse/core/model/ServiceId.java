package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a declared service.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ : -}
 */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {
    /**
     * Checks the characters of the identity.
     *
     * @throws IllegalArgumentException if the value has another form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ServiceId {
        Names.check("ServiceId", value);
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
