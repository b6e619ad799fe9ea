package org.heathercourse.core.stream;

/**
 * Tells whether a stream of server-sent events is between two events or inside one. Keeps no bytes.
 * Not safe for use by several threads.
 */
public final class EventBoundary {
    private boolean mLineHasBytes;
    private boolean mLineIsComment;
    private boolean mPendingCarriageReturn;
    private boolean mEventHasFields;

    /** Adds bytes of the stream. */
    public void add(byte[] bytes, int offset, int length) {
        for (int i = offset; i < offset + length; i++) {
            add(bytes[i]);
        }
    }

    private void add(byte b) {
        if (b == '\n') {
            // Ends the line, together with a carriage return before it.
            mPendingCarriageReturn = false;
            endLine();
            return;
        }
        if (mPendingCarriageReturn) {
            mPendingCarriageReturn = false;
            endLine();
        }
        if (b == '\r') {
            mPendingCarriageReturn = true;
            return;
        }
        if (!mLineHasBytes) {
            mLineIsComment = b == ':';
        }
        mLineHasBytes = true;
    }

    private void endLine() {
        if (mLineHasBytes) {
            mEventHasFields |= !mLineIsComment;
        } else {
            mEventHasFields = false;
        }
        mLineHasBytes = false;
    }

    /** Returns whether no event, and no line, has begun that is not complete. */
    public boolean isBetweenEvents() {
        if (mPendingCarriageReturn) {
            return !mLineHasBytes || mLineIsComment && !mEventHasFields;
        }
        return !mLineHasBytes && !mEventHasFields;
    }
}
