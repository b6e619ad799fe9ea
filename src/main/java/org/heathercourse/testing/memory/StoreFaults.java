package org.heathercourse.testing.memory;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.heathercourse.platform.StoreException;

/**
 * Switches for the failures of an in-memory store. Callers are told apart by names, so that one of
 * them can be cut off or paused alone. Safe for use by several threads.
 */
public final class StoreFaults {
    private final Map<String, Pause> mPauses = new ConcurrentHashMap<>();
    private final Map<String, Boolean> mCutOff = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mLoseBefore = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mLoseAfter = new ConcurrentHashMap<>();
    private final Map<String, Crash> mCrashes = new ConcurrentHashMap<>();
    private volatile boolean mOutage;
    private volatile boolean mWriteOutage;
    private volatile long mDelayNanos;

    private record Crash(AtomicInteger writesLeft, boolean withEffect) {}

    private record Pause(String prefix, CountDownLatch reached, CountDownLatch resume) {}

    /** Makes all calls of all callers fail. */
    public void setOutage(boolean on) {
        mOutage = on;
    }

    /** Makes all writes of all callers fail while reads go on. */
    public void setWriteOutage(boolean on) {
        mWriteOutage = on;
    }

    /** Makes all calls of one caller fail. */
    public void setDisconnected(String caller, boolean on) {
        mCutOff.put(caller, on);
    }

    /** Makes the next writes of a caller fail without an effect, with an unknown outcome. */
    public void loseRequests(String caller, int count) {
        mLoseBefore.put(caller, new AtomicInteger(count));
    }

    /** Makes the next writes of a caller take effect and their replies get lost. */
    public void loseReplies(String caller, int count) {
        mLoseAfter.put(caller, new AtomicInteger(count));
    }

    /**
     * Cuts a caller off at one of its next writes, as if it had crashed there.
     *
     * @param caller the caller
     * @param writes writes that succeed before
     * @param withEffect whether the write at which it crashes takes effect
     */
    public void crashAtWrite(String caller, int writes, boolean withEffect) {
        mCrashes.put(caller, new Crash(new AtomicInteger(writes), withEffect));
    }

    /** Ends all failures except pauses. */
    public void clearFailures() {
        mOutage = false;
        mWriteOutage = false;
        mCutOff.clear();
        mLoseBefore.clear();
        mLoseAfter.clear();
        mCrashes.clear();
    }

    /** Delays every call. */
    public void setDelayNanos(long nanos) {
        mDelayNanos = nanos;
    }

    /** Stops the caller at its next write, before the effect, until {@link #resume}. */
    public void pause(String caller) {
        pause(caller, "");
    }

    /** Stops the caller at its next write of a key or name with a prefix. */
    public void pause(String caller, String prefix) {
        mPauses.put(caller, new Pause(prefix, new CountDownLatch(1), new CountDownLatch(1)));
    }

    /** Waits until a paused caller has reached its write. */
    public void awaitPaused(String caller) {
        await(mPauses.get(caller).reached());
    }

    /** Lets a paused caller go on. */
    public void resume(String caller) {
        Pause pause = mPauses.remove(caller);
        if (pause != null) {
            pause.resume().countDown();
        }
    }

    void beforeRead(String caller) {
        delay();
        check(caller);
    }

    void beforeWrite(String caller, String key) {
        Pause pause = mPauses.get(caller);
        if (pause != null && key.startsWith(pause.prefix())) {
            pause.reached().countDown();
            await(pause.resume());
        }
        delay();
        check(caller);
        if (mWriteOutage) {
            throw StoreException.unavailable("writes refused", null);
        }
        crash(caller, false);
        if (take(mLoseBefore, caller)) {
            throw StoreException.outcomeUnknown("request lost", null);
        }
    }

    void afterWrite(String caller) {
        crash(caller, true);
        if (take(mLoseAfter, caller)) {
            throw StoreException.outcomeUnknown("reply lost", null);
        }
    }

    private void crash(String caller, boolean afterEffect) {
        Crash crash = mCrashes.get(caller);
        if (crash != null
                && crash.withEffect() == afterEffect
                && crash.writesLeft().getAndDecrement() == 0) {
            mCutOff.put(caller, true);
            throw StoreException.outcomeUnknown("caller crashed", null);
        }
    }

    private void check(String caller) {
        if (mOutage || mCutOff.getOrDefault(caller, false)) {
            throw StoreException.unavailable("connection refused", null);
        }
    }

    private static boolean take(Map<String, AtomicInteger> counts, String caller) {
        AtomicInteger left = counts.get(caller);
        return left != null && left.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }

    private void delay() {
        long nanos = mDelayNanos;
        if (nanos > 0) {
            await(new CountDownLatch(1), nanos);
        }
    }

    private static void await(CountDownLatch latch) {
        await(latch, TimeUnit.MINUTES.toNanos(1));
    }

    private static void await(CountDownLatch latch, long nanos) {
        try {
            latch.await(nanos, TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw StoreException.outcomeUnknown("interrupted", e);
        }
    }
}
