package org.heathercourse.daemon.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;
import org.junit.jupiter.api.Test;

/**
 * Guards against valid keys that are rejected by a daemon whose configuration is stale or missing.
 */
class StaleKeyTest {
    private static final Authenticator.Principal PRINCIPAL =
            new Authenticator.Principal(new WorkspaceId("mill"), "k");

    private final FakeConfigSource mSource = new FakeConfigSource();
    private final Authenticator mAuthenticator = new KeyAuthenticator(mSource);

    private ErrorKind recheck() {
        return mAuthenticator.recheck(PRINCIPAL).map(HeathercourseException::kind).orElse(null);
    }

    @Test
    void isolatedDaemonDoesNotReportKeysAsWithdrawn() {
        WorkspaceSpec mill = new WorkspaceSpec(new WorkspaceId("mill"), List.of(), 1, 1, 0, 1);
        mSource.setConfig(DeploymentConfig.builder().revision(3).workspaces(List.of(mill)).build());
        assertThat(recheck()).isEqualTo(ErrorKind.KEY_WITHDRAWN);
        mSource.setFresh(false);
        assertThat(recheck()).isEqualTo(ErrorKind.STALE_CONFIGURATION);
    }

    @Test
    void daemonWithoutConfigurationDoesNotReportKeysAsUnknown() {
        assertThat(mAuthenticator.authenticate("Bearer hc_k_secret").getLeft().kind())
                .isEqualTo(ErrorKind.STALE_CONFIGURATION);
    }
}
