package org.heathercourse.core.program;

import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.TargetId;

/**
 * What is recorded of one call.
 *
 * @param request identity of the call
 * @param bodyDigest digest of the request body
 * @param state state of the call
 * @param status HTTP status of the answer, 0 without an answer
 * @param contentType media type of the answer, empty without an answer
 * @param answer body of the answer, empty without an answer
 * @param errorKind wire name of the error kind, empty without an error
 * @param message what was met, empty without an error
 * @param notRun whether it is certain that no target ran it
 * @param target target that the call went to; null if not known
 */
public record CallEntry(
        RequestId request,
        String bodyDigest,
        CallState state,
        int status,
        String contentType,
        byte[] answer,
        String errorKind,
        String message,
        boolean notRun,
        TargetId target) {}
