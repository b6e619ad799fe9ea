package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against a process that exits after its stop grace period: the exit waits for threads that
 * are in a system call, and event loops that still ran were in one.
 */
class GatewayExitTest {
    @Tag("known-red")
    @Test
    void noEventLoopRunsAfterClose() {
        Set<Thread> before = Thread.getAllStackTraces().keySet();
        try (GatewayFixture fixture = new GatewayFixture()) {
            Set<Thread> targetsAndStore = Thread.getAllStackTraces().keySet();
            fixture.startGateway();
            Set<Thread> started = new HashSet<>(Thread.getAllStackTraces().keySet());
            started.removeAll(before);
            started.removeAll(targetsAndStore);
            started.removeIf(thread -> !isEventLoop(thread));
            assertThat(started).isNotEmpty();
            fixture.deployment().gateways().get(0).close();
            assertThat(started).noneMatch(Thread::isAlive);
        }
    }

    private static boolean isEventLoop(Thread thread) {
        return thread.getName().startsWith("traffic") || thread.getName().startsWith("control");
    }
}
