package org.heathercourse.gateway.call;

import org.heathercourse.core.history.EventDataCollector;
import org.heathercourse.core.limits.MemoryBudget;

/**
 * The output of one turn, collected from the events that are forwarded to its caller, over all
 * attempts. Confined to the traffic loop.
 */
final class TurnOutput {
    /** The collector grows by doubling, and its data are copied once at the end. */
    private static final long MEMORY_FACTOR = 2;

    private final EventDataCollector mCollector;
    private final MemoryBudget.Reservation mMemory;
    private boolean mLost;

    /**
     * Creates an empty output.
     *
     * @param memory budget that the output counts against
     * @param maxBytes maximum size of the output in bytes
     */
    TurnOutput(MemoryBudget memory, long maxBytes) {
        mCollector = new EventDataCollector((int) Math.min(maxBytes, Integer.MAX_VALUE));
        mMemory = memory.reserveNothing();
    }

    /** Adds bytes that are forwarded; returns false if the output cannot be kept. */
    boolean add(byte[] events) {
        mLost =
                mLost
                        || !mCollector.add(events)
                        || !mMemory.resize(MEMORY_FACTOR * mCollector.sizeBytes());
        return !mLost;
    }

    /** Returns whether bytes were added that could not be kept. */
    boolean isLost() {
        return mLost;
    }

    /** Returns the data of all events, each followed by a line feed. */
    byte[] data() {
        return mCollector.data();
    }

    /** Returns the memory to the budget; the output receives nothing more. */
    void release() {
        mMemory.release();
    }
}
