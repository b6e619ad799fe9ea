package org.heathercourse.gateway;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadFactory;
import org.heathercourse.core.time.Ticker;

/**
 * Creates the threads of a gateway's event loops and waits for their end. The future of a loop's
 * end completes while its thread still runs. Safe for use by several threads.
 */
final class LoopThreads {
    private final Ticker mTicker;
    private final Queue<Thread> mThreads = new ConcurrentLinkedQueue<>();

    /**
     * Creates an object without threads.
     *
     * @param ticker monotonic clock
     */
    LoopThreads(Ticker ticker) {
        mTicker = ticker;
    }

    /**
     * Returns a factory of threads that {@link #awaitEnd} waits for.
     *
     * @param name prefix of the names of the threads
     */
    ThreadFactory factory(String name) {
        ThreadFactory factory = new DefaultThreadFactory(name, true);
        return task -> {
            Thread thread = factory.newThread(task);
            mThreads.add(thread);
            return thread;
        };
    }

    /**
     * Waits until all threads have ended.
     *
     * @param timeoutMillis maximum time to wait for all threads together, in milliseconds
     * @return the threads that still run
     * @throws InterruptedException if the calling thread is interrupted
     */
    List<Thread> awaitEnd(long timeoutMillis) throws InterruptedException {
        long endMillis = mTicker.readMillis() + timeoutMillis;
        for (Thread thread : mThreads) {
            long leftMillis = endMillis - mTicker.readMillis();
            if (leftMillis > 0) {
                thread.join(leftMillis);
            }
        }
        return mThreads.stream().filter(Thread::isAlive).toList();
    }
}
