package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of a VM. Successive processes on a VM are distinguished by their incarnation. Immutable.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ : -}
 */
public record VmId(@JsonValue String value) implements Comparable<VmId> {
    /**
     * Validates the identity.
     *
     * @throws IllegalArgumentException if the value is null or malformed
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public VmId {
        Identities.requireValid("VmId", value);
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
