package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a VM. Processes on it are told apart by their incarnation.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ : -}
 */
public record VmId(@JsonValue String value) implements Comparable<VmId> {
    /**
     * Checks the characters of the identity.
     *
     * @throws IllegalArgumentException if the value has another form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public VmId {
        Names.check("VmId", value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
