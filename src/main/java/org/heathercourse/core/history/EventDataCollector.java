package org.heathercourse.core.history;

import java.io.ByteArrayOutputStream;

/**
 * Collects the data of server-sent events: for each complete event, its {@code data} lines joined
 * by line feeds, followed by one line feed.
 *
 * <p>Other fields and comments are ignored, and an event without data lines adds nothing. Lines end
 * with a line feed, a carriage return, or both. Not safe for use by several threads.
 */
public final class EventDataCollector {
    private static final byte[] FIELD = {'d', 'a', 't', 'a'};

    private final int mMaxBytes;
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mEventData = new ByteArrayOutputStream();
    private LineState mState = LineState.FIELD_NAME;

    /** Number of bytes of the line that match the name of the field so far. */
    private int mMatchedBytes;

    private boolean mLineEmpty = true;
    private boolean mPreviousWasCarriageReturn;
    private boolean mEventHasData;
    private boolean mExceeded;

    /** Position within a line. */
    private enum LineState {
        FIELD_NAME,
        AFTER_COLON,
        VALUE,
        IGNORED
    }

    /**
     * Creates a collector.
     *
     * @param maxBytes maximum size of the collected data in bytes, including an incomplete event
     */
    public EventDataCollector(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Adds bytes of the stream, split anywhere.
     *
     * @param bytes array with the bytes
     * @return false if the data exceeds the bound; it is then no longer collected
     */
    public boolean add(byte[] bytes) {
        for (byte b : bytes) {
            add(b);
        }
        return !mExceeded;
    }

    private void add(byte b) {
        boolean continuesLineEnd = b == '\n' && mPreviousWasCarriageReturn;
        mPreviousWasCarriageReturn = b == '\r';
        if (continuesLineEnd) {
            return;
        }
        if (b == '\n' || b == '\r') {
            endLine();
        } else {
            addToLine(b);
        }
    }

    private void addToLine(byte b) {
        mLineEmpty = false;
        switch (mState) {
            case FIELD_NAME -> addToFieldName(b);
            case AFTER_COLON -> {
                mState = LineState.VALUE;
                if (b != ' ') {
                    append(b);
                }
            }
            case VALUE -> append(b);
            default -> {}
        }
    }

    private void addToFieldName(byte b) {
        if (mMatchedBytes < FIELD.length && b == FIELD[mMatchedBytes]) {
            mMatchedBytes++;
        } else if (mMatchedBytes == FIELD.length && b == ':') {
            beginData();
            mState = LineState.AFTER_COLON;
        } else {
            mState = LineState.IGNORED;
        }
    }

    private void beginData() {
        if (mEventHasData) {
            append((byte) '\n');
        }
        mEventHasData = true;
    }

    private void append(byte b) {
        mExceeded |= sizeBytes() >= mMaxBytes;
        if (!mExceeded) {
            mEventData.write(b);
        }
    }

    private void endLine() {
        if (mLineEmpty) {
            endEvent();
        } else if (mState == LineState.FIELD_NAME && mMatchedBytes == FIELD.length) {
            // A field name without a colon is a field with an empty value.
            beginData();
        }
        mState = LineState.FIELD_NAME;
        mMatchedBytes = 0;
        mLineEmpty = true;
    }

    private void endEvent() {
        if (mEventHasData) {
            append((byte) '\n');
            if (!mExceeded) {
                mOutput.writeBytes(mEventData.toByteArray());
            }
        }
        mEventData.reset();
        mEventHasData = false;
    }

    /** Returns the number of bytes kept, including those of an incomplete event. */
    public int sizeBytes() {
        return mOutput.size() + mEventData.size();
    }

    /** Returns whether the data exceeded the bound, so that {@link #data()} is incomplete. */
    public boolean isExceeded() {
        return mExceeded;
    }

    /** Returns the data of all complete events, each followed by a line feed; a copy. */
    public byte[] data() {
        return mOutput.toByteArray();
    }
}
