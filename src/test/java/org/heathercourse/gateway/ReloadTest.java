package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.heathercourse.core.drain.DrainSchedule;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that goes on with old settings after it was told that they changed. */
class ReloadTest {
    /** A stop that takes longer than the new grace period is killed with requests in progress. */
    @Test
    void stopFollowsGracePeriodOfChangedSettings() {
        try (HostedDeployment deployment = new HostedDeployment()) {
            Map<Setting, String> shorter = Map.of(Setting.STOP_GRACE_SECONDS, "5");
            Settings newer = deployment.addGateway("vm-2", shorter);
            deployment.addGateway("vm-1");
            Gateway gateway = deployment.gateways().get(1);
            gateway.reload(newer);
            DrainSchedule schedule = gateway.leave(0);
            assertThat(schedule.millisToResponseEnd(0)).isLessThan(5_000);
        }
    }

    @Test
    void otherSettingsNeedRestart() {
        try (HostedDeployment deployment = new HostedDeployment()) {
            Settings settings = deployment.addGateway("vm-1");
            Map<Setting, String> changes =
                    Map.of(
                            Setting.STOP_GRACE_SECONDS, "5",
                            Setting.KEY_WITHDRAWAL_MS, "4000",
                            Setting.MAX_BUFFER_BYTES, "1000000");
            Settings reloaded = settings.reloadFrom(deployment.addGateway("vm-2", changes));
            assertThat(reloaded.decimal(Setting.STOP_GRACE_SECONDS)).isEqualTo(5);
            assertThat(reloaded.decimal(Setting.KEY_WITHDRAWAL_MS)).isEqualTo(4_000);
            assertThat(settings.differencesFrom(reloaded))
                    .containsExactlyInAnyOrder(
                            Setting.STOP_GRACE_SECONDS, Setting.KEY_WITHDRAWAL_MS);
            assertThat(reloaded.vm()).isEqualTo(settings.vm());
        }
    }
}
