package org.heathercourse.gateway.call;

import org.heathercourse.core.stream.EventSplitter;

/** Whether a part of a target's response can be forwarded, and why not. */
enum Acceptance {
    /** The part can be forwarded. */
    ACCEPTED(""),
    /** The caller's response has begun, and this one is not the rest of its stream. */
    NOT_A_CONTINUATION("the response does not continue the stream"),
    /** The first event of a resumed stream is not the next one. */
    MISPLACED_EVENT("the resumed stream does not go on after the last event"),
    /** The gateway keeps as many bytes for all calls as it may. */
    OUT_OF_MEMORY("the gateway has no memory left for an incomplete event"),
    /** The output of a turn cannot be kept, so that the turn could not be continued. */
    OUTPUT_LOST("the gateway has no memory left for the output of the turn"),
    /** The caller resumes the stream after an event that the stream does not have. */
    UNKNOWN_LAST_EVENT("the stream has no event with the id that the caller received last"),
    /** An event of the stream has no end. */
    EVENT_TOO_LARGE(
            "an event of the stream is larger than " + EventSplitter.MAX_EVENT_BYTES + " bytes");

    private final String mReason;

    Acceptance(String reason) {
        mReason = reason;
    }

    /** Returns why the part cannot be forwarded. */
    String reason() {
        return mReason;
    }
}
