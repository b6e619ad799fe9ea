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
 * @param intended whether an intent was recorded, so the call is non-idempotent
 * @param answerDropped whether the answer existed and is kept no longer
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
        TargetId target,
        boolean intended,
        boolean answerDropped) {
    /** Creates an entry without an intent whose answer, if it has one, is kept. */
    public CallEntry(
            RequestId request,
            String bodyDigest,
            CallState state,
            int status,
            String contentType,
            byte[] answer,
            String errorKind,
            String message,
            boolean notRun,
            TargetId target) {
        this(
                request,
                bodyDigest,
                state,
                status,
                contentType,
                answer,
                errorKind,
                message,
                notRun,
                target,
                false,
                false);
    }

    /** Returns the entry of a call whose intent was recorded. */
    static CallEntry intent(LogRecord.IntentRecorded r) {
        return new CallEntry(
                r.request(),
                r.bodyDigest(),
                CallState.INTENT,
                0,
                "",
                new byte[0],
                "",
                "",
                false,
                r.target(),
                true,
                false);
    }

    /** Returns the entry of a call that ended with an answer. */
    static CallEntry completed(LogRecord.CallCompleted r, boolean intended) {
        return new CallEntry(
                r.request(),
                r.bodyDigest(),
                CallState.COMPLETED,
                r.status(),
                r.contentType(),
                r.answer() == null ? new byte[0] : r.answer(),
                "",
                "",
                false,
                r.target(),
                intended,
                false);
    }

    /** Returns the entry of a call that ended without an answer. */
    static CallEntry failed(LogRecord.CallFailed r, boolean intended, TargetId target) {
        return new CallEntry(
                r.request(),
                r.bodyDigest(),
                CallState.FAILED,
                0,
                "",
                new byte[0],
                r.errorKind(),
                r.message(),
                r.notRun(),
                target,
                intended,
                false);
    }

    /** Returns this intent as a new owner has to see it. */
    CallEntry asUnknown() {
        return new CallEntry(
                request,
                bodyDigest,
                CallState.UNKNOWN,
                0,
                "",
                new byte[0],
                "outcome_unknown",
                "the daemon that dispatched this call failed before it recorded an outcome",
                false,
                target,
                true,
                false);
    }

    /** Returns this entry with digest and status only. */
    CallEntry withoutAnswer() {
        return new CallEntry(
                request,
                bodyDigest,
                state,
                status,
                contentType,
                new byte[0],
                errorKind,
                message,
                notRun,
                target,
                intended,
                true);
    }
}
