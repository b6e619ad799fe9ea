package org.heathercourse.core.target;

import org.heathercourse.core.model.Zone;

/**
 * A target as its row describes it. Immutable.
 *
 * @param id identity, which changes with most restarts
 * @param startedMillis time of day of its start in milliseconds; tells restarts under one identity
 *     apart; 0 if it is not known
 * @param service name of its service
 * @param host address
 * @param port port
 * @param zone zone of its VM
 * @param slots requests that it runs at once
 * @param leaving whether it is about to leave and gets no new work
 */
public record Target(
        String id,
        long startedMillis,
        String service,
        String host,
        int port,
        Zone zone,
        int slots,
        boolean leaving) {
    /** Returns the address as {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }

    /** Returns whether another row describes the same run of the same target. */
    public boolean isSameIncarnation(Target other) {
        return other != null
                && id.equals(other.id)
                && startedMillis == other.startedMillis
                && address().equals(other.address())
                && service.equals(other.service);
    }
}
