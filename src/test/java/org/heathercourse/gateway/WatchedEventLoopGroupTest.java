package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against delayed tasks of a gateway that fail without a trace: a heartbeat that ran out of
 * memory was the last one, and the process lived on without serving.
 */
class WatchedEventLoopGroupTest {
    private static final long MAX_WAIT_SECONDS = 10;

    private final BlockingQueue<Throwable> mErrors = new LinkedBlockingQueue<>();
    private final WatchedEventLoopGroup mGroup =
            new WatchedEventLoopGroup(new DefaultThreadFactory("watched", true), mErrors::add);
    private final EventLoop mLoop = mGroup.next();

    @AfterEach
    void close() {
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void assertReported(Error error) throws InterruptedException {
        assertThat(mErrors.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isSameAs(error);
    }

    private static Runnable failing(Error error) {
        return () -> {
            throw error;
        };
    }

    @Test
    void reportsErrorOfDelayedTask() throws InterruptedException {
        Error error = new OutOfMemoryError();
        mLoop.schedule(failing(error), 1, TimeUnit.MILLISECONDS);
        assertReported(error);
    }

    @Test
    void reportsErrorOfDelayedCall() throws InterruptedException {
        Error error = new OutOfMemoryError();
        Callable<Integer> call =
                () -> {
                    throw error;
                };
        mLoop.schedule(call, 1, TimeUnit.MILLISECONDS);
        assertReported(error);
    }

    @Test
    void reportsErrorsOfPeriodicTasks() throws InterruptedException {
        Error first = new OutOfMemoryError();
        mLoop.scheduleWithFixedDelay(failing(first), 1, 1, TimeUnit.MILLISECONDS);
        assertReported(first);
        Error second = new StackOverflowError();
        mLoop.scheduleAtFixedRate(failing(second), 1, 1, TimeUnit.MILLISECONDS);
        assertReported(second);
    }

    /** Guards against a watch that changes what a delayed call returns. */
    @Test
    void returnsResultOfDelayedCall() throws Exception {
        Callable<Integer> call = () -> 7;
        assertThat(mLoop.schedule(call, 1, TimeUnit.MILLISECONDS).get()).isEqualTo(7);
        assertThat(mErrors).isEmpty();
    }
}
