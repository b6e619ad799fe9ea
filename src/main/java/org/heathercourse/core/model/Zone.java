package org.heathercourse.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A zone (data centre): a failure domain with its own VMs and targets.
 *
 * @param value 1 to 128 characters out of letters, digits and {@code . _ : -}
 */
public record Zone(@JsonValue String value) implements Comparable<Zone> {
    /**
     * Checks the characters of the identity.
     *
     * @throws IllegalArgumentException if the value has another form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Zone {
        Names.check("Zone", value);
    }

    @Override
    public int compareTo(Zone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
