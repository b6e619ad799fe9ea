package org.heathercourse.gateway;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A group of one event loop that reports each error of a delayed task. Netty keeps such an error in
 * the future of the task, which nobody reads: a loop that schedules its own next run then ends
 * without a trace. Errors of tasks that run at once are logged by Netty itself. Thread-safe.
 */
final class WatchedEventLoopGroup extends MultiThreadIoEventLoopGroup {
    /**
     * Creates a group of one loop.
     *
     * @param threads factory of the thread of the loop
     * @param onError receives each error on the thread of the loop before it reaches the future
     */
    WatchedEventLoopGroup(ThreadFactory threads, Consumer<Throwable> onError) {
        super(1, threads, NioIoHandler.newFactory(), onError);
    }

    @Override
    @SuppressWarnings("unchecked")
    protected IoEventLoop newChild(
            Executor executor, IoHandlerFactory ioHandlerFactory, Object... arguments) {
        // The constructor of the superclass calls this method before any field is set.
        Consumer<Throwable> onError = (Consumer<Throwable>) arguments[arguments.length - 1];
        return new WatchedEventLoop(this, executor, ioHandlerFactory, onError);
    }

    private static final class WatchedEventLoop extends SingleThreadIoEventLoop {
        private final Consumer<Throwable> mOnError;

        WatchedEventLoop(
                WatchedEventLoopGroup parent,
                Executor executor,
                IoHandlerFactory ioHandlerFactory,
                Consumer<Throwable> onError) {
            super(parent, executor, ioHandlerFactory);
            mOnError = onError;
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            return super.schedule(watched(task), delay, unit);
        }

        @Override
        public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
            return super.schedule(
                    () -> {
                        try {
                            return task.call();
                        } catch (Throwable e) {
                            mOnError.accept(e);
                            throw e;
                        }
                    },
                    delay,
                    unit);
        }

        @Override
        public ScheduledFuture<?> scheduleAtFixedRate(
                Runnable task, long initialDelay, long period, TimeUnit unit) {
            return super.scheduleAtFixedRate(watched(task), initialDelay, period, unit);
        }

        @Override
        public ScheduledFuture<?> scheduleWithFixedDelay(
                Runnable task, long initialDelay, long delay, TimeUnit unit) {
            return super.scheduleWithFixedDelay(watched(task), initialDelay, delay, unit);
        }

        private Runnable watched(Runnable task) {
            return () -> {
                try {
                    task.run();
                } catch (Throwable e) {
                    mOnError.accept(e);
                    throw e;
                }
            };
        }
    }
}
