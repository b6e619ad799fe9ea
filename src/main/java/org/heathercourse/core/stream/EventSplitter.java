package org.heathercourse.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events after complete events, without changing any byte.
 *
 * <p>Only complete events are passed on, so that a stream that breaks inside an event can be
 * resumed from another source after the last complete event. A source in trouble may send bytes
 * without end that complete no event; {@link #exceedsMaxEventSize} tells so. Not safe for use by
 * several threads.
 */
public final class EventSplitter {
    /** Maximum size of an event in bytes. */
    public static final int MAX_EVENT_BYTES = 256 * 1024;

    /**
     * Maximum size of an id in bytes, with its field name. An event with a longer one counts as one
     * without an id, so that its stream cannot be resumed after it.
     */
    private static final int MAX_ID_LINE_BYTES = 4 * 1024;

    /** Size in bytes up to which the memory of an event is used again for the next one. */
    private static final int MAX_RETAINED_BYTES = 8 * 1024;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

    private ByteArrayOutputStream mIncomplete = new ByteArrayOutputStream();

    /** Start of the line; only fields whose values matter here are kept whole. */
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();

    private boolean mPendingCarriageReturn;
    private boolean mEventHasLines;
    private boolean mEventHasData;
    private String mIncompleteEventId;
    private final EventPosition mPosition = new EventPosition();
    private EventBoundary mBoundary = new EventBoundary();
    private boolean mExpectsContinuation;
    private boolean mMisplaced;
    private long mEventCount;

    /**
     * Adds bytes and returns all bytes up to the end of the last complete event.
     *
     * @param bytes the bytes received
     * @return bytes to pass on; empty if no event is complete
     */
    public byte[] add(byte[] bytes) {
        mBoundary.add(bytes, 0, bytes.length);
        int completeLength = -1;
        for (int i = 0; i < bytes.length && !mMisplaced; i++) {
            byte b = bytes[i];
            if (b == '\n') {
                // Ends the line, together with a carriage return before it.
                mPendingCarriageReturn = false;
                if (endLine()) {
                    completeLength = i + 1;
                }
                continue;
            }
            if (endPendingLine()) {
                completeLength = i;
            }
            if (b == '\r') {
                mPendingCarriageReturn = true;
            } else if (mLine.size() <= MAX_ID_LINE_BYTES) {
                mLine.write(b);
            }
        }
        if (completeLength < 0) {
            mIncomplete.write(bytes, 0, bytes.length);
            return new byte[0];
        }
        mIncomplete.write(bytes, 0, completeLength);
        byte[] complete = mIncomplete.toByteArray();
        clearIncomplete();
        mIncomplete.write(bytes, completeLength, bytes.length - completeLength);
        return complete;
    }

    private void clearIncomplete() {
        if (mIncomplete.size() > MAX_RETAINED_BYTES) {
            mIncomplete = new ByteArrayOutputStream();
        } else {
            mIncomplete.reset();
        }
    }

    /** Ends a line that a carriage return alone has ended; returns whether an event is complete. */
    private boolean endPendingLine() {
        boolean pending = mPendingCarriageReturn;
        mPendingCarriageReturn = false;
        return pending && endLine();
    }

    /** Processes the end of a line; returns whether it completes an event. */
    private boolean endLine() {
        if (mLine.size() > 0) {
            byte[] line = mLine.toByteArray();
            mEventHasLines = true;
            mEventHasData |= startsWith(line, DATA_FIELD);
            parseId(line);
            mLine.reset();
            return false;
        }
        return mEventHasLines && endEvent();
    }

    /** Processes the end of an event; returns whether it may be passed on. */
    private boolean endEvent() {
        if (mExpectsContinuation && mEventHasData) {
            mMisplaced = !mPosition.isContinuedBy(mIncompleteEventId);
            if (mMisplaced) {
                return false;
            }
            mExpectsContinuation = false;
        }
        mPosition.advance(mIncompleteEventId, mEventHasData);
        mEventCount++;
        startEvent();
        return true;
    }

    private void startEvent() {
        mEventHasLines = false;
        mEventHasData = false;
        mIncompleteEventId = null;
    }

    /**
     * Ends the stream.
     *
     * @return whether it ended between two events; if not, it was broken off
     */
    public boolean endInput() {
        endPendingLine();
        return mBoundary.isBetweenEvents() && !mMisplaced;
    }

    private static boolean startsWith(byte[] line, byte[] start) {
        return line.length >= start.length
                && Arrays.equals(line, 0, start.length, start, 0, start.length);
    }

    private void parseId(byte[] line) {
        if (!startsWith(line, ID_FIELD) || line.length > MAX_ID_LINE_BYTES) {
            return;
        }
        mIncompleteEventId =
                new String(
                                line,
                                ID_FIELD.length,
                                line.length - ID_FIELD.length,
                                StandardCharsets.UTF_8)
                        .trim();
    }

    /** Returns and discards the bytes after the last complete event. */
    public byte[] drainIncomplete() {
        byte[] incomplete = mIncomplete.toByteArray();
        discardIncomplete();
        return incomplete;
    }

    /** Discards an incomplete event, so that the stream can be resumed from another source. */
    public void discardIncomplete() {
        clearIncomplete();
        mLine.reset();
        mPendingCarriageReturn = false;
        mMisplaced = false;
        mBoundary = new EventBoundary();
        startEvent();
    }

    /**
     * Expects the stream to go on from another source, right after the last event that was passed
     * on.
     */
    public void expectContinuation() {
        mExpectsContinuation = true;
    }

    /**
     * Returns whether the other source repeated an event, left one out, or does not tell which ones
     * it sends. Its events are not passed on.
     */
    public boolean isMisplaced() {
        return mMisplaced;
    }

    /** Returns whether another source can continue the stream after the last complete event. */
    public boolean canBeContinued() {
        return mPosition.isKnown();
    }

    /** Returns whether the incomplete event is larger than {@link #MAX_EVENT_BYTES}. */
    public boolean exceedsMaxEventSize() {
        return mIncomplete.size() > MAX_EVENT_BYTES;
    }

    /** Returns the size of the incomplete event in bytes. */
    public int incompleteBytes() {
        return mIncomplete.size();
    }

    /** Returns the number of complete events. */
    public long eventCount() {
        return mEventCount;
    }

    /** Returns the id of the last complete event that had one, or null. */
    public String lastEventId() {
        return mPosition.lastId();
    }
}
