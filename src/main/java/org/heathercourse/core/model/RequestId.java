package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of one call of a program, given by the caller; retries of the call have the same
 * identity. Immutable.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ : -}
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    /**
     * Validates the identity.
     *
     * @throws IllegalArgumentException if the value is null or malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestId {
        Identities.requireValid("RequestId", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
