package org.heathercourse.testing.memory;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.heathercourse.platform.StoreException;

/**
 * Failures to inject into in-memory stores. Callers are identified by name, so that a single one
 * can be disconnected or paused. Thread-safe.
 */
public final class StoreFaults {
    private final Map<String, Pause> mPauseByCaller = new ConcurrentHashMap<>();
    private final Map<String, Boolean> mDisconnected = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mRequestsToLose = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mRepliesToLose = new ConcurrentHashMap<>();
    private final Map<String, Crash> mCrashByCaller = new ConcurrentHashMap<>();
    private volatile boolean mOutage;
    private volatile boolean mWriteOutage;
    private volatile long mDelayNanos;

    private record Crash(AtomicInteger remainingWrites, boolean afterEffect) {}

    private record Pause(String keyPrefix, CountDownLatch reached, CountDownLatch resume) {}

    /** Fails all operations of all callers while {@code on} is set. */
    public void setOutage(boolean on) {
        mOutage = on;
    }

    /** Fails all writes of all callers while {@code on} is set; reads succeed. */
    public void setWriteOutage(boolean on) {
        mWriteOutage = on;
    }

    /** Fails all operations of one caller while {@code on} is set. */
    public void setDisconnected(String caller, boolean on) {
        mDisconnected.put(caller, on);
    }

    /** Fails the next {@code count} writes of a caller with an unknown outcome, without effect. */
    public void loseRequests(String caller, int count) {
        mRequestsToLose.put(caller, new AtomicInteger(count));
    }

    /** Applies the next {@code count} writes of a caller, then fails them with unknown outcome. */
    public void loseReplies(String caller, int count) {
        mRepliesToLose.put(caller, new AtomicInteger(count));
    }

    /**
     * Disconnects a caller at one of its next writes, which simulates a crash.
     *
     * @param caller name of the caller
     * @param writes number of writes that succeed before the crash
     * @param withEffect whether the write at the crash takes effect
     */
    public void crashAtWrite(String caller, int writes, boolean withEffect) {
        mCrashByCaller.put(caller, new Crash(new AtomicInteger(writes), withEffect));
    }

    /** Ends all failures except pauses and delays. */
    public void clearFailures() {
        mOutage = false;
        mWriteOutage = false;
        mDisconnected.clear();
        mRequestsToLose.clear();
        mRepliesToLose.clear();
        mCrashByCaller.clear();
    }

    /** Delays each operation by a time in nanoseconds; 0 for no delay. */
    public void setDelayNanos(long nanos) {
        mDelayNanos = nanos;
    }

    /** Blocks the caller at its next write, before the effect, until {@link #resume}. */
    public void pause(String caller) {
        pause(caller, "");
    }

    /** Blocks the caller at its next write whose key or object name starts with a prefix. */
    public void pause(String caller, String prefix) {
        mPauseByCaller.put(caller, new Pause(prefix, new CountDownLatch(1), new CountDownLatch(1)));
    }

    /** Waits until a paused caller has reached its write, for at most one minute. */
    public void awaitPaused(String caller) {
        await(mPauseByCaller.get(caller).reached());
    }

    /** Unblocks a paused caller. */
    public void resume(String caller) {
        Pause pause = mPauseByCaller.remove(caller);
        if (pause != null) {
            pause.resume().countDown();
        }
    }

    void beforeRead(String caller) {
        delay();
        throwIfDisconnected(caller);
    }

    void beforeWrite(String caller, String key) {
        Pause pause = mPauseByCaller.get(caller);
        if (pause != null && key.startsWith(pause.keyPrefix())) {
            pause.reached().countDown();
            await(pause.resume());
        }
        delay();
        throwIfDisconnected(caller);
        if (mWriteOutage) {
            throw StoreException.unavailable("writes refused", null);
        }
        throwIfCrashing(caller, false);
        if (decrementIfPositive(mRequestsToLose, caller)) {
            throw StoreException.outcomeUnknown("request lost", null);
        }
    }

    void afterWrite(String caller) {
        throwIfCrashing(caller, true);
        if (decrementIfPositive(mRepliesToLose, caller)) {
            throw StoreException.outcomeUnknown("reply lost", null);
        }
    }

    private void throwIfCrashing(String caller, boolean afterEffect) {
        Crash crash = mCrashByCaller.get(caller);
        if (crash != null
                && crash.afterEffect() == afterEffect
                && crash.remainingWrites().getAndDecrement() == 0) {
            mDisconnected.put(caller, true);
            throw StoreException.outcomeUnknown("caller crashed", null);
        }
    }

    private void throwIfDisconnected(String caller) {
        if (mOutage || mDisconnected.getOrDefault(caller, false)) {
            throw StoreException.unavailable("connection refused", null);
        }
    }

    private static boolean decrementIfPositive(Map<String, AtomicInteger> counts, String caller) {
        AtomicInteger remaining = counts.get(caller);
        return remaining != null && remaining.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
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
