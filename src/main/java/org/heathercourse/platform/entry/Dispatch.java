package org.heathercourse.platform.entry;

/**
 * Metadata that a gateway adds to a request before it forwards the request to a target. Immutable.
 *
 * @param targetId identity of the intended target; a target with another identity refuses the
 *     request
 * @param workspace workspace that the request runs for; null on open routes
 * @param remainingMillis time left until the deadline of the request, in milliseconds
 * @param priority priority from 0, which is served first, to 9
 * @param afterEventId identity of the last event received, after which a stream is resumed; empty
 *     to run it from its start, whatever the caller sent; null to keep the value that the caller
 *     sent
 */
public record Dispatch(
        String targetId,
        String workspace,
        long remainingMillis,
        int priority,
        String afterEventId) {
    /** Value of {@code afterEventId} for a stream that runs from its start. */
    public static final String STREAM_START = "";
}
