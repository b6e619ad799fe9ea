package org.heathercourse.gateway.history;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Bounds the cost of the work that is under way; further work waits in its order. Safe for use by
 * several threads.
 *
 * <p>Load pattern: turns of a megabyte that end at the same time. While a turn is written there are
 * several copies of it, which together are many times what the gateway has counted for it.
 */
final class WorkGate {
    private final long mCapacity;
    private final Deque<Entry<?>> mWaiting = new ArrayDeque<>();
    private long mUsed;
    private boolean mStarting;

    /**
     * Creates a gate.
     *
     * @param capacity maximum sum of the costs of all work under way
     */
    WorkGate(long capacity) {
        mCapacity = capacity;
    }

    /**
     * Runs work, at once or after work that came before.
     *
     * @param cost cost of the work; work that costs more than the capacity runs alone
     * @param work starts the work; runs on the caller's thread or on one that ends other work
     * @return the result of the work; work whose result is cancelled before it starts never runs
     */
    <T> CompletableFuture<T> run(long cost, Supplier<CompletableFuture<T>> work) {
        Entry<T> entry = new Entry<>(Math.min(cost, mCapacity), work);
        synchronized (this) {
            mWaiting.add(entry);
        }
        entry.mResult.whenComplete((result, error) -> forget(entry));
        startWaiting();
        return entry.mResult;
    }

    /** Removes work that was cancelled before it has started, with all that it refers to. */
    private synchronized void forget(Entry<?> entry) {
        if (!entry.mTaken) {
            mWaiting.remove(entry);
        }
    }

    private void startWaiting() {
        for (Entry<?> next = next(); next != null; next = next()) {
            next.start();
            endStart();
        }
    }

    /** Returns the work to start; only one thread starts work, so that starts do not nest. */
    private synchronized Entry<?> next() {
        boolean fits = !mWaiting.isEmpty() && mUsed + mWaiting.peek().mCost <= mCapacity;
        if (mStarting || !fits) {
            return null;
        }
        mStarting = true;
        Entry<?> next = mWaiting.remove();
        next.mTaken = true;
        mUsed += next.mCost;
        return next;
    }

    private synchronized void endStart() {
        mStarting = false;
    }

    private synchronized void release(long cost) {
        mUsed -= cost;
    }

    /** Returns the number of pieces of work that wait. */
    synchronized int waitingCount() {
        return mWaiting.size();
    }

    private final class Entry<T> {
        private final long mCost;
        private final CompletableFuture<T> mResult = new CompletableFuture<>();
        private Supplier<CompletableFuture<T>> mWork;

        /** Whether it no longer waits; guarded by the gate. */
        private boolean mTaken;

        Entry(long cost, Supplier<CompletableFuture<T>> work) {
            mCost = cost;
            mWork = work;
        }

        void start() {
            CompletableFuture<T> running;
            try {
                running = mWork.get();
            } catch (RuntimeException e) {
                running = CompletableFuture.failedFuture(e);
            }
            mWork = null;
            running.whenComplete(this::end);
        }

        private void end(T result, Throwable error) {
            release(mCost);
            if (error == null) {
                mResult.complete(result);
            } else {
                mResult.completeExceptionally(error);
            }
            startWaiting();
        }
    }
}
