package org.heathercourse.daemon.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HexFormat;
import java.util.List;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.KeySpec;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.model.WorkspaceId;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that lets callers in because its configuration leaves no key. */
class LastKeyTest {
    private static final String KEY = "hc_k_secret";
    private static final WorkspaceId MILL = new WorkspaceId("mill");
    private static final Authenticator.Principal PRINCIPAL = new Authenticator.Principal(MILL, "k");

    private static DeploymentConfig config(WorkspaceSpec... workspaces) {
        return DeploymentConfig.builder().revision(3).workspaces(List.of(workspaces)).build();
    }

    private static WorkspaceSpec workspace(KeySpec... keys) {
        return new WorkspaceSpec(MILL, List.of(keys), 1, 1, 0, 1);
    }

    private static Authenticator authenticator(DeploymentConfig config) {
        FakeConfigSource source = new FakeConfigSource();
        source.setConfig(config);
        return new KeyAuthenticator(source);
    }

    @Test
    void declaredKeyIsAccepted() {
        String digest = HexFormat.of().formatHex(KeyDigest.sha256(KEY));
        Authenticator authenticator =
                authenticator(config(workspace(new KeySpec("k", digest, false))));
        assertThat(authenticator.authenticate("Bearer " + KEY).get()).isEqualTo(PRINCIPAL);
        assertThat(authenticator.recheck(PRINCIPAL)).isEmpty();
    }

    @Test
    void configurationWithoutAnyKeyLetsNobodyIn() {
        KeySpec unreadable = new KeySpec("k", "", false);
        for (DeploymentConfig config :
                List.of(config(), config(workspace()), config(workspace(unreadable)))) {
            Authenticator authenticator = authenticator(config);
            for (String header :
                    new String[] {"Bearer " + KEY, "Bearer ", "Bearer hc__", "", null}) {
                assertThat(authenticator.authenticate(header).getLeft().kind())
                        .as(header)
                        .isEqualTo(ErrorKind.UNAUTHENTICATED);
            }
            assertThat(authenticator.recheck(PRINCIPAL).orElseThrow().kind())
                    .isEqualTo(ErrorKind.KEY_WITHDRAWN);
        }
    }
}
