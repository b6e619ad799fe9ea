package org.heathercourse.gateway.control;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.time.TestTime;

/** Runs tasks immediately, and scheduled tasks when a test advances the time past their delay. */
public final class ManualExecutor extends AbstractExecutorService
        implements ScheduledExecutorService {
    private final TestTime mTime;
    private final PriorityQueue<Task<?>> mTasks =
            new PriorityQueue<>(Comparator.<Task<?>>comparingLong(t -> t.mDueMillis));

    /** Creates an executor whose tasks are due by the given time. */
    public ManualExecutor(TestTime time) {
        mTime = time;
    }

    /** Advances the time and runs the tasks that are due. */
    public void advance(long millis) {
        mTime.advanceMillis(millis);
        while (!mTasks.isEmpty() && mTasks.peek().mDueMillis <= mTime.ticker().readMillis()) {
            mTasks.remove().run();
        }
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }

    private final class Task<T> extends FutureTask<T> implements ScheduledFuture<T> {
        private final long mDueMillis;

        Task(Callable<T> task, long delayMillis) {
            super(task);
            mDueMillis = mTime.ticker().readMillis() + delayMillis;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(mDueMillis - mTime.ticker().readMillis(), TimeUnit.MILLISECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(
                    getDelay(TimeUnit.MILLISECONDS), other.getDelay(TimeUnit.MILLISECONDS));
        }
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        return schedule(
                () -> {
                    task.run();
                    return null;
                },
                delay,
                unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
        Task<V> scheduled = new Task<>(task, unit.toMillis(delay));
        mTasks.add(scheduled);
        return scheduled;
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable task, long initialDelay, long period, TimeUnit unit) {
        throw new UnsupportedOperationException("no code under test repeats at a fixed rate");
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable task, long initialDelay, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("no code under test repeats with a delay");
    }

    @Override
    public void shutdown() {
        mTasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        mTasks.clear();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }
}
