package org.heathercourse.platform.entry;

import java.util.List;
import java.util.Optional;

/** The questions that gateways answer themselves. Implementations are immutable. */
public interface EntryFormat {
    /**
     * A caller asks where to connect.
     *
     * @param zone zone of the caller; empty if it did not say
     */
    record AddressQuery(String zone) {}

    /** Reads a request target as a question for addresses; empty if it is none. */
    Optional<AddressQuery> parseAddressQuery(String uri);

    /**
     * Writes an answer.
     *
     * @param addresses addresses as {@code host:port}
     * @param keepSeconds how long the caller may keep them, in seconds
     * @return the body, as JSON
     */
    byte[] encodeAddresses(List<String> addresses, long keepSeconds);

    /** Returns whether a request target asks if the gateway is ready. */
    boolean isReadinessCheck(String uri);
}
