package org.heathercourse.testing.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;
import org.heathercourse.core.time.Ticker;

/** The active faults of one part. Thread-safe. */
public final class FaultSwitches {
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Map<Fault, ActiveFault> mActiveFaults = new EnumMap<>(Fault.class);
    private Runnable mOnChange = () -> {};

    FaultSwitches(Ticker ticker, RandomGenerator random) {
        mTicker = ticker;
        mRandom = random;
    }

    /** A fault that is active. */
    private static final class ActiveFault {
        private final double mValue;
        private final long mActivatedMillis;
        private long mRemainingRequests;

        ActiveFault(double value, long remainingRequests, long activatedMillis) {
            mValue = value;
            mRemainingRequests = remainingRequests;
            mActivatedMillis = activatedMillis;
        }
    }

    /**
     * Activates a fault.
     *
     * @param fault the fault
     * @param value its value, see {@link Fault}
     * @param count number of requests it applies to; 0 for no limit
     */
    public void set(Fault fault, double value, long count) {
        synchronized (this) {
            long remainingRequests = count > 0 ? count : -1;
            mActiveFaults.put(
                    fault, new ActiveFault(value, remainingRequests, mTicker.readMillis()));
        }
        mOnChange.run();
    }

    /** Deactivates all faults. */
    public void clear() {
        synchronized (this) {
            mActiveFaults.clear();
        }
        mOnChange.run();
    }

    void onChange(Runnable action) {
        mOnChange = action;
    }

    /** Returns the value of a fault without decrementing its count; empty if it is inactive. */
    synchronized OptionalDouble peek(Fault fault) {
        ActiveFault active = mActiveFaults.get(fault);
        return active == null ? OptionalDouble.empty() : OptionalDouble.of(active.mValue);
    }

    /** Applies a fault to one request: decrements its count and returns its value, if active. */
    synchronized OptionalDouble consume(Fault fault) {
        ActiveFault active = mActiveFaults.get(fault);
        if (active == null) {
            return OptionalDouble.empty();
        }
        if (active.mRemainingRequests > 0) {
            active.mRemainingRequests--;
            if (active.mRemainingRequests == 0) {
                mActiveFaults.remove(fault);
            }
        }
        return OptionalDouble.of(active.mValue);
    }

    /** Returns whether a fault without a count is active. */
    synchronized boolean isOnWithoutLimit(Fault fault) {
        ActiveFault active = mActiveFaults.get(fault);
        return active != null && active.mRemainingRequests < 0;
    }

    /** Applies a fault to one request with the probability in its value; returns whether it did. */
    boolean drawAndConsume(Fault fault) {
        OptionalDouble rate = peek(fault);
        if (rate.isEmpty()) {
            return false;
        }
        boolean hit;
        synchronized (this) {
            hit = mRandom.nextDouble() < rate.getAsDouble();
        }
        return hit && consume(fault).isPresent();
    }

    /** Returns whether the part is paused; deactivates a pause that has expired. */
    synchronized boolean isPaused() {
        ActiveFault active = mActiveFaults.get(Fault.PAUSE);
        if (active == null) {
            return false;
        }
        if (active.mValue > 0
                && mTicker.readMillis() - active.mActivatedMillis >= (long) active.mValue) {
            mActiveFaults.remove(Fault.PAUSE);
            return false;
        }
        return true;
    }
}
