package org.heathercourse.core.stream;

import java.util.Arrays;

/**
 * Drops the events of a stream up to the one with a given id, which its reader already has. Not
 * safe for use by several threads.
 */
public final class EventSkipper {
    private final String mLastReadId;
    private final EventSplitter mSplitter = new EventSplitter();
    private boolean mFound;

    /**
     * Creates a skipper at the start of a stream.
     *
     * @param lastReadId id of the last event that the reader has
     */
    public EventSkipper(String lastReadId) {
        mLastReadId = lastReadId;
    }

    /**
     * Adds complete events and returns the bytes of those that the reader lacks.
     *
     * @param events the events, which may end anywhere if {@link #hasFound} is true
     */
    public byte[] add(byte[] events) {
        if (mFound) {
            return events;
        }
        for (int i = 0; i < events.length; i++) {
            mFound = mSplitter.add(new byte[] {events[i]}).length > 0 && isLastRead();
            if (mFound) {
                // A carriage return ends a line only with the next byte, which then belongs to the
                // event after it.
                int next = i + 1 - mSplitter.incompleteBytes();
                return Arrays.copyOfRange(events, next, events.length);
            }
        }
        return new byte[0];
    }

    private boolean isLastRead() {
        return mLastReadId.equals(mSplitter.lastEventId());
    }

    /** Returns whether the event with the id has come. */
    public boolean hasFound() {
        return mFound;
    }
}
