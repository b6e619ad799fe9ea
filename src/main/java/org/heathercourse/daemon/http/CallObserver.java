package org.heathercourse.daemon.http;

import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Told about each request of a caller when it has ended. Safe for several threads, never blocks.
 */
public interface CallObserver {
    /**
     * How a request ended.
     *
     * @param service service that was called; null if the request named no declared one
     * @param workspace workspace of the caller; null if the request came without a valid key
     * @param admitted whether the rate limiter admitted it
     * @param program program in the request's header; null if there was none
     * @param request identity in the request's header; null if there was none
     * @param kind wire name of the error kind, {@code ok}, or {@code disconnected}
     * @param status HTTP status of the answer
     * @param refusal why this daemon refused it before it reached its owner; null if it did not
     * @param durationMillis time from its arrival to the end of the answer, in milliseconds
     */
    record Ended(
            ServiceId service,
            WorkspaceId workspace,
            boolean admitted,
            String program,
            String request,
            String kind,
            int status,
            HeathercourseException refusal,
            long durationMillis) {}

    /** Tells that a request has ended. */
    void ended(Ended call);
}
