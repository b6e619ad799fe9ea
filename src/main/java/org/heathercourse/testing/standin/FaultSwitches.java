package org.heathercourse.testing.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;
import org.heathercourse.core.time.Ticker;

/** The faults of one part. Safe for use by several threads. */
public final class FaultSwitches {
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Map<Fault, Setting> mSettings = new EnumMap<>(Fault.class);
    private Runnable mOnChange = () -> {};

    FaultSwitches(Ticker ticker, RandomGenerator random) {
        mTicker = ticker;
        mRandom = random;
    }

    /** One fault that is switched on. */
    private static final class Setting {
        private final double mValue;
        private final long mSinceMillis;
        private long mRemaining;

        Setting(double value, long remaining, long sinceMillis) {
            mValue = value;
            mRemaining = remaining;
            mSinceMillis = sinceMillis;
        }
    }

    /**
     * Switches a fault on.
     *
     * @param fault the fault
     * @param value its value, see {@link Fault}
     * @param count number of requests it applies to; 0 for no limit
     */
    public void set(Fault fault, double value, long count) {
        synchronized (this) {
            long remaining = count > 0 ? count : -1;
            mSettings.put(fault, new Setting(value, remaining, mTicker.readMillis()));
        }
        mOnChange.run();
    }

    /** Switches all faults off. */
    public void clear() {
        synchronized (this) {
            mSettings.clear();
        }
        mOnChange.run();
    }

    void onChange(Runnable action) {
        mOnChange = action;
    }

    /** Returns the value of a fault without using up its count. */
    synchronized OptionalDouble peek(Fault fault) {
        Setting setting = mSettings.get(fault);
        return setting == null ? OptionalDouble.empty() : OptionalDouble.of(setting.mValue);
    }

    /** Returns the value of a fault that applies to this request and uses up one of its count. */
    synchronized OptionalDouble take(Fault fault) {
        Setting setting = mSettings.get(fault);
        if (setting == null) {
            return OptionalDouble.empty();
        }
        if (setting.mRemaining > 0) {
            setting.mRemaining--;
            if (setting.mRemaining == 0) {
                mSettings.remove(fault);
            }
        }
        return OptionalDouble.of(setting.mValue);
    }

    /** Returns whether a fault without a count is on. */
    synchronized boolean unlimited(Fault fault) {
        Setting setting = mSettings.get(fault);
        return setting != null && setting.mRemaining < 0;
    }

    /** Returns whether a share of requests given by the fault includes the present one. */
    boolean draw(Fault fault) {
        OptionalDouble share = peek(fault);
        if (share.isEmpty()) {
            return false;
        }
        boolean hit;
        synchronized (this) {
            hit = mRandom.nextDouble() < share.getAsDouble();
        }
        return hit && take(fault).isPresent();
    }

    /** Returns whether the part is paused; ends a pause whose time has passed. */
    synchronized boolean paused() {
        Setting setting = mSettings.get(Fault.PAUSE);
        if (setting == null) {
            return false;
        }
        if (setting.mValue > 0
                && mTicker.readMillis() - setting.mSinceMillis >= (long) setting.mValue) {
            mSettings.remove(Fault.PAUSE);
            return false;
        }
        return true;
    }
}
