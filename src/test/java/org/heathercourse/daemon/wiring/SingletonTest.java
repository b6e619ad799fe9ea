package org.heathercourse.daemon.wiring;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Checks that parts with state exist once in a daemon. */
class SingletonTest {
    /**
     * Guards against a second executor in a daemon, whose lanes and running calls the first one
     * does not know: forwarded and local calls, and the end of idle programs, would not wait for
     * each other.
     */
    @Test
    void hasOneCallExecutor() throws Exception {
        Path component =
                Path.of(
                        "src/generated/dagger/org/heathercourse/daemon/wiring",
                        "DaggerDaemonComponent.java");
        assertThat(Files.readString(component))
                .contains("DoubleCheck.provider(CallExecutor_Factory.create(");
    }
}
