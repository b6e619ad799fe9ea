package org.heathercourse.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream of server-sent events after whole events, without changing a byte.
 *
 * <p>Only whole events may be passed on: a stream that breaks inside an event can then be continued
 * from another source after the last event. Not safe for use by several threads.
 */
public final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private boolean mLineHasBytes;
    private boolean mEventHasLines;
    private String mPendingId;
    private String mLastId;
    private long mEvents;

    /**
     * Adds bytes and returns all that ends with a whole event.
     *
     * @param bytes the bytes received
     * @return bytes to pass on, which may be none
     */
    public byte[] add(byte[] bytes) {
        int whole = -1;
        for (int i = 0; i < bytes.length; i++) {
            byte b = bytes[i];
            if (b == '\n') {
                if (endLine()) {
                    whole = i;
                }
            } else if (b != '\r') {
                mLineHasBytes = true;
                mLine.write(b);
            }
        }
        if (whole < 0) {
            mPending.write(bytes, 0, bytes.length);
            return new byte[0];
        }
        mPending.write(bytes, 0, whole + 1);
        byte[] out = mPending.toByteArray();
        mPending.reset();
        mPending.write(bytes, whole + 1, bytes.length - whole - 1);
        return out;
    }

    /** Ends a line; returns whether it ended an event. */
    private boolean endLine() {
        if (mLineHasBytes) {
            mEventHasLines = true;
            readId(mLine.toByteArray());
            mLine.reset();
            mLineHasBytes = false;
            return false;
        }
        if (!mEventHasLines) {
            return false;
        }
        mEventHasLines = false;
        mEvents++;
        if (mPendingId != null) {
            mLastId = mPendingId;
            mPendingId = null;
        }
        return true;
    }

    private void readId(byte[] line) {
        if (line.length < ID_FIELD.length) {
            return;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (line[i] != ID_FIELD[i]) {
                return;
            }
        }
        mPendingId =
                new String(
                                line,
                                ID_FIELD.length,
                                line.length - ID_FIELD.length,
                                StandardCharsets.UTF_8)
                        .trim();
    }

    /** Returns the bytes behind the last whole event and forgets them. */
    public byte[] drainIncomplete() {
        byte[] rest = mPending.toByteArray();
        discardIncomplete();
        return rest;
    }

    /** Forgets a broken event, so that the stream can go on from another source. */
    public void discardIncomplete() {
        mPending.reset();
        mLine.reset();
        mLineHasBytes = false;
        mEventHasLines = false;
        mPendingId = null;
    }

    /** Returns how many whole events were seen. */
    public long eventCount() {
        return mEvents;
    }

    /** Returns the identity of the last whole event that had one, or null. */
    public String lastEventId() {
        return mLastId;
    }
}
