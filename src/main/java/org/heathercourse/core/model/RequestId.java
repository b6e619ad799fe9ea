package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity that a caller gives to one call of a program; repeats of the call carry the same one.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ : -}
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    /**
     * Checks the characters of the identity.
     *
     * @throws IllegalArgumentException if the value has another form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestId {
        Names.check("RequestId", value);
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
