package org.heathercourse.gateway.target;

/**
 * What a connection to a target has carried.
 *
 * @param connectionId identity of the connection within this process
 * @param carriedRequests number of requests that were sent on it
 * @param ageMillis time since it was opened, in milliseconds
 * @param idleMillis time since the end of its last response, or since it was opened, in
 *     milliseconds
 */
public record ConnectionUse(
        String connectionId, int carriedRequests, long ageMillis, long idleMillis) {
    /** For a request that was not sent. */
    public static final ConnectionUse NONE = new ConnectionUse("", 0, 0, 0);
}
