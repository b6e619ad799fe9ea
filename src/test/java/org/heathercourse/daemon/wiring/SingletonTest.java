package org.heathercourse.daemon.wiring;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Tests that stateful components are created once per daemon. */
class SingletonTest {
    /**
     * Guards against a second call executor. Two executors would not share their lanes and running
     * calls, so forwarded calls, local calls and the end of idle programs would not wait for each
     * other.
     */
    @Test
    void createsOneCallExecutor() throws Exception {
        Path component =
                Path.of(
                        "src/generated/dagger/org/heathercourse/daemon/wiring",
                        "DaggerDaemonComponent.java");
        assertThat(Files.readString(component))
                .contains("DoubleCheck.provider(CallExecutor_Factory.create(");
    }
}
