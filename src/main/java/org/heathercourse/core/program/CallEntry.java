package org.heathercourse.core.program;

import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.TargetId;

/**
 * Recorded state of one call. Immutable.
 *
 * @param request identity of the call
 * @param bodyDigest digest of the request body
 * @param state state of the call
 * @param status HTTP status of the answer, 0 without an answer
 * @param contentType media type of the answer, empty without an answer
 * @param answer body of the answer, empty without an answer
 * @param errorKind wire name of the error kind, empty without an error
 * @param message error message, empty without an error
 * @param notRun whether it is certain that no target ran it
 * @param target target that the call was sent to; null if unknown
 * @param intended whether an intent was recorded, which is done for non-idempotent calls only
 * @param answerDropped whether there was an answer that is no longer kept
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
    /** Creates an entry without an intent; its answer, if it has one, is kept. */
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

    /** Returns this intent as an entry with unknown outcome, for use after a change of owner. */
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

    /** Returns this entry without the body of its answer; digest and status are kept. */
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
