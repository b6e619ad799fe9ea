package org.heathercourse.testing.load;

/**
 * The failure of one attempt of a request. Immutable.
 *
 * @param kind wire name of the error, or {@code connection} if no error response was received
 * @param message message of the error
 * @param notRun whether the daemon stated that the request was not run
 * @param retryAfterMillis minimum delay before a retry, in milliseconds
 */
public record CallFailure(String kind, String message, boolean notRun, long retryAfterMillis) {
    /** Returns a failure for a broken connection. */
    static CallFailure ofConnection(String message) {
        return new CallFailure("connection", message, false, 0);
    }

    /** Returns whether a retry of the same request, at any daemon, may succeed. */
    boolean isTemporary() {
        return switch (kind) {
            case "connection",
                    "rate_limited",
                    "overloaded",
                    "stale_configuration",
                    "store_unavailable",
                    "owner_unavailable",
                    "ownership_lost",
                    "draining" ->
                    true;
            default -> false;
        };
    }
}
