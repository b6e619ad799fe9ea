package org.heathercourse.gateway.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import org.heathercourse.core.limits.MemoryBudget;

/**
 * Collects the body of one request within the memory budget of the process. A body of declared
 * length gets its whole memory at the start, so that one that has begun is not refused later, and
 * is never copied. Confined to the traffic loop.
 */
final class BodyBuffer {
    private static final byte[] EMPTY = new byte[0];
    private static final int MIN_CAPACITY_BYTES = 4 * 1024;

    private final MemoryBudget.Reservation mMemory;
    private byte[] mBytes = EMPTY;
    private int mSize;

    /**
     * Creates an empty buffer.
     *
     * @param budget budget of the process
     */
    BodyBuffer(MemoryBudget budget) {
        mMemory = budget.reserveNothing();
    }

    /**
     * Makes room for a number of bytes.
     *
     * @param capacityBytes size of the whole body
     * @return false if the budget does not allow it; the buffer is unchanged
     */
    boolean reserve(int capacityBytes) {
        if (capacityBytes <= mBytes.length) {
            return true;
        }
        if (!mMemory.resize(capacityBytes)) {
            return false;
        }
        mBytes = Arrays.copyOf(mBytes, capacityBytes);
        return true;
    }

    /**
     * Adds a part of the body.
     *
     * @param part the part; its bytes are read
     * @return false if the budget does not allow it
     */
    boolean append(ByteBuf part) {
        int length = part.readableBytes();
        int size = mSize + length;
        if (size > mBytes.length && !grow(size)) {
            return false;
        }
        part.readBytes(mBytes, mSize, length);
        mSize = size;
        return true;
    }

    /** Grows for a body without a declared length, whose parts come one after the other. */
    private boolean grow(int minCapacityBytes) {
        int doubled = Math.max(MIN_CAPACITY_BYTES, mBytes.length * 2);
        return reserve(Math.max(minCapacityBytes, doubled)) || reserve(minCapacityBytes);
    }

    /** Returns the number of bytes added. */
    int size() {
        return mSize;
    }

    /** Returns the body; the buffer must not be changed any more. */
    byte[] toByteArray() {
        if (mSize < mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, mSize);
            mMemory.resize(mSize);
        }
        return mBytes;
    }

    /** Returns the memory to the budget; no effect if that was done before. */
    void release() {
        mBytes = EMPTY;
        mSize = 0;
        mMemory.release();
    }
}
