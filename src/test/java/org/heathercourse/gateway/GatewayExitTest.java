package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against a process that exits after its stop grace period: the exit waits for threads that
 * are in a system call, and event loops that still ran were in one.
 */
class GatewayExitTest {
    /**
     * Shorter than a quiet period of an event loop, which is 2 s by default. Beside load, the
     * threads of a process did not run for up to 0.6 s.
     */
    private static final long MAX_CLOSE_MILLIS = 1_900;

    private static final int CLOSES = 3;

    @Tag("known-red")
    @Test
    void noEventLoopRunsAfterClose() {
        assertThat(loopsAfter(Gateway::close)).isEmpty();
    }

    /** Guards against a close that does not wait for the threads themselves. */
    @Test
    void noEventLoopRunsAfterCloseWithTimeForThem() {
        for (int i = 0; i < CLOSES; i++) {
            assertThat(loopsAfter(gateway -> gateway.close(MAX_CLOSE_MILLIS))).isEmpty();
        }
    }

    /** Guards against event loops that need more time than an exit has, whatever the load. */
    @Test
    void eventLoopsEndInTimeOfExit() {
        int inTime = 0;
        for (int i = 0; i < CLOSES; i++) {
            if (loopsAfter(Gateway::close).isEmpty()) {
                inTime++;
            }
        }
        assertThat(inTime).isPositive();
    }

    /** Returns the threads of a gateway's event loops that are alive right after its close. */
    private static Set<Thread> loopsAfter(Consumer<Gateway> close) {
        Set<Thread> before = Thread.getAllStackTraces().keySet();
        try (GatewayFixture fixture = new GatewayFixture()) {
            Set<Thread> targetsAndStore = Thread.getAllStackTraces().keySet();
            fixture.startGateway();
            Set<Thread> started = new HashSet<>(Thread.getAllStackTraces().keySet());
            started.removeAll(before);
            started.removeAll(targetsAndStore);
            started.removeIf(thread -> !isEventLoop(thread));
            assertThat(started).isNotEmpty();
            close.accept(fixture.deployment().gateways().get(0));
            started.removeIf(thread -> !thread.isAlive());
            return started;
        }
    }

    private static boolean isEventLoop(Thread thread) {
        return thread.getName().startsWith("traffic") || thread.getName().startsWith("control");
    }
}
