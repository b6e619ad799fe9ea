package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.SettingProblem;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that starts with a heap too small for what it may keep in it. */
class HeapCheckTest {
    private static final long MEGABYTE = 1024 * 1024;

    @Test
    void reportsBufferLargerThanHalfOfHeap() {
        try (HostedDeployment deployment = new HostedDeployment()) {
            Settings settings = deployment.addGateway("vm-1");
            long bufferBytes = settings.number(Setting.MAX_BUFFER_BYTES);
            assertThat(HeapCheck.check(settings, 2 * bufferBytes)).isEmpty();
            assertThat(HeapCheck.check(settings, 2 * bufferBytes - MEGABYTE))
                    .map(SettingProblem::line)
                    .hasValueSatisfying(
                            line ->
                                    assertThat(line)
                                            .contains("HEATHERCOURSE_MAX_BUFFER_BYTES", "heap"));
        }
    }
}
