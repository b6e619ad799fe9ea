package org.heathercourse.core.target;

import org.heathercourse.core.model.Zone;

/**
 * A target as described by its table row. Immutable.
 *
 * @param id identity of the target; most restarts change it
 * @param startedMillis start time in milliseconds since the epoch, which distinguishes restarts
 *     with the same identity; 0 if unknown
 * @param service name of the service
 * @param host host name or address
 * @param port TCP port, 1 to 65535
 * @param zone zone of the VM
 * @param slots number of requests that it runs concurrently, at least 1
 * @param leaving whether the target is draining and gets no new requests
 * @param coldRemainingMillis time after the row was written for which the target is cold and can
 *     run few requests only, in milliseconds; 0 if it is warm
 */
public record Target(
        String id,
        long startedMillis,
        String service,
        String host,
        int port,
        Zone zone,
        int slots,
        boolean leaving,
        long coldRemainingMillis) {
    private static final int MAX_PORT = 65_535;

    /** Far above the slots of any target; placement multiplies them. */
    private static final int MAX_SLOTS = 1_000_000;

    /**
     * Validates the port and the slots.
     *
     * @throws IllegalArgumentException if one of them is out of range
     */
    public Target {
        requireInRange("port", port, MAX_PORT);
        requireInRange("slots", slots, MAX_SLOTS);
    }

    /** Creates a target that is warm. */
    public Target(
            String id,
            long startedMillis,
            String service,
            String host,
            int port,
            Zone zone,
            int slots,
            boolean leaving) {
        this(id, startedMillis, service, host, port, zone, slots, leaving, 0);
    }

    private static void requireInRange(String name, int value, int max) {
        if (value < 1 || value > max) {
            throw new IllegalArgumentException(name + " " + value + ", expected 1 to " + max);
        }
    }

    /** Returns the same target, which gets no new requests. */
    Target asLeaving() {
        return leaving
                ? this
                : new Target(
                        id,
                        startedMillis,
                        service,
                        host,
                        port,
                        zone,
                        slots,
                        true,
                        coldRemainingMillis);
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }

    /** Returns a text that differs for each start of a target. */
    public String incarnation() {
        return id + "@" + Long.toString(startedMillis, Character.MAX_RADIX);
    }

    /** Returns whether another row describes the same target since the same start. */
    public boolean isSameIncarnation(Target other) {
        return other != null
                && id.equals(other.id)
                && startedMillis == other.startedMillis
                && address().equals(other.address())
                && service.equals(other.service);
    }
}
