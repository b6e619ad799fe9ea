package org.heathercourse.platform.entry;

import java.util.List;
import java.util.Optional;

/**
 * Parses and encodes the requests that gateways answer without a target: address queries and
 * readiness checks. Implementations are immutable.
 */
public interface EntryFormat {
    /**
     * A caller's query for the addresses of gateways.
     *
     * @param zone zone of the caller; empty if it is not given
     */
    record AddressQuery(String zone) {}

    /** Parses a request URI as an address query; empty if it is none. */
    Optional<AddressQuery> parseAddressQuery(String uri);

    /**
     * Encodes the response to an address query.
     *
     * @param addresses addresses of gateways as {@code host:port}
     * @param keepSeconds how long the caller may cache the addresses, in seconds
     * @return the JSON body
     */
    byte[] encodeAddresses(List<String> addresses, long keepSeconds);

    /** Returns whether a request URI is a readiness check. */
    boolean isReadinessCheck(String uri);
}
