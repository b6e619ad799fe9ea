package org.heathercourse.daemon.http;

import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Receives the outcome of each caller request. Implementations are safe for use by several threads
 * and do not block.
 */
public interface CallObserver {
    /**
     * Outcome of a request.
     *
     * @param service service that was called; null if the request did not name a declared one
     * @param workspace workspace of the caller; null if the request had no valid key
     * @param admitted whether the rate limiter admitted it
     * @param program program from the request's header; null if there was none
     * @param request request identity from the request's header; null if there was none
     * @param kind wire name of the error kind, {@code ok}, or {@code disconnected}
     * @param status HTTP status of the answer
     * @param refusal error with which this daemon refused the request before it reached its owner;
     *     null if it was not refused
     * @param durationMillis time from the arrival of the request to the end of the answer, in
     *     milliseconds
     */
    record EndedRequest(
            ServiceId service,
            WorkspaceId workspace,
            boolean admitted,
            String program,
            String request,
            String kind,
            int status,
            HeathercourseException refusal,
            long durationMillis) {}

    /** Called once for each request, after it has ended. */
    void onRequestEnded(EndedRequest request);
}
