package org.heathercourse.core.stream;

import java.util.OptionalLong;

/**
 * Position in a stream of events, by the ids of the events that were passed on. Not safe for use by
 * several threads.
 */
final class EventPosition {
    /** Distance of ids before two numbers were seen. */
    private static final long STEP_UNKNOWN = 0;

    /** Distance of ids that is not the same everywhere; nothing can be said of the next one. */
    private static final long STEP_VARIES = -1;

    private String mLastId;
    private boolean mHasUnidentifiedData;
    private long mStep = STEP_UNKNOWN;

    /**
     * Advances past an event.
     *
     * @param id id of the event; null if it has none
     * @param hasData whether the event has data, which must not be passed on twice
     */
    void advance(String id, boolean hasData) {
        if (id == null) {
            mHasUnidentifiedData |= hasData;
            return;
        }
        OptionalLong last = number(mLastId);
        OptionalLong next = number(id);
        if (last.isPresent() && next.isPresent()) {
            long step = next.getAsLong() - last.getAsLong();
            mStep = mStep == STEP_UNKNOWN || mStep == step ? step : STEP_VARIES;
        }
        mLastId = id;
        mHasUnidentifiedData = false;
    }

    /** Returns the id of the last event that had one, or null. */
    String lastId() {
        return mLastId;
    }

    /**
     * Returns whether another source can supply what follows: the events after the last id, or all
     * of them if no data was passed on.
     */
    boolean isKnown() {
        return !mHasUnidentifiedData;
    }

    /**
     * Returns whether an event may be the next one. Its id must lie behind the last one; if all ids
     * so far had the same distance, it must not lie further away than that.
     */
    boolean isContinuedBy(String id) {
        if (mLastId == null) {
            return true;
        }
        if (id == null || id.equals(mLastId)) {
            return false;
        }
        OptionalLong last = number(mLastId);
        OptionalLong next = number(id);
        if (last.isEmpty() || next.isEmpty()) {
            return true;
        }
        long step = next.getAsLong() - last.getAsLong();
        return step > 0 && (mStep <= 0 || step <= mStep);
    }

    private static OptionalLong number(String id) {
        try {
            return id == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(id));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
