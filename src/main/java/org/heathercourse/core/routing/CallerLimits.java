package org.heathercourse.core.routing;

/**
 * Size and time limits for the requests of callers. Immutable.
 *
 * @param maxHeaderBytes maximum size of a request head in bytes
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param headerTimeoutMillis maximum time from the first byte of a request to the end of its head,
 *     in milliseconds
 * @param idleTimeoutMillis time in milliseconds after which an idle connection is closed
 */
public record CallerLimits(
        int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply without a configuration. */
    public static final CallerLimits DEFAULTS =
            new CallerLimits(16 * 1024, 4L * 1024 * 1024, 3_000, 15_000);
}
