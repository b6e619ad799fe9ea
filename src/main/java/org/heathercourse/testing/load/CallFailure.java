package org.heathercourse.testing.load;

/**
 * How one attempt of a caller ended without an answer.
 *
 * @param kind wire name of the error, or {@code connection} if none was received
 * @param message what was met
 * @param notRun whether the daemon stated that the request was not run
 * @param retryAfterMillis time after which to try again, in milliseconds
 */
public record CallFailure(String kind, String message, boolean notRun, long retryAfterMillis) {
    /** Returns the failure of an attempt whose connection broke. */
    static CallFailure connection(String message) {
        return new CallFailure("connection", message, false, 0);
    }

    /** Returns whether the same request may succeed later, here or at another daemon. */
    boolean temporary() {
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
