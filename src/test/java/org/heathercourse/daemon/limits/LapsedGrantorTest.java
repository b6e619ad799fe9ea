package org.heathercourse.daemon.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.config.FakeFleet;
import org.heathercourse.daemon.peer.PeerMessage.ShareReply;
import org.heathercourse.daemon.peer.PeerMessage.ShareRequest;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.Test;

/**
 * Guards against a burst that is granted twice: a grantor whose lease lapsed and was renewed under
 * the same fencing number must not start an empty ledger.
 */
class LapsedGrantorTest {
    private static final WorkspaceId WORKSPACE = new WorkspaceId("mill");
    private static final double BURST = 20;

    private final FakeFleet mFleet = new FakeFleet();
    private final ManualTicker mTicker = new ManualTicker();

    private static final class Config implements ConfigSource {
        @Override
        public DeploymentConfig current() {
            WorkspaceSpec workspace = new WorkspaceSpec(WORKSPACE, List.of(), 0.001, BURST, 0, 1);
            return DeploymentConfig.builder().workspaces(List.of(workspace)).build();
        }

        @Override
        public boolean isFresh() {
            return true;
        }

        @Override
        public void onChange(Consumer<DeploymentConfig> listener) {
            listener.accept(current());
        }
    }

    @Test
    void renewedLeaseWithSameFenceKeepsTheLedger() {
        DaemonInfo grantor = mFleet.add("a");
        DaemonInfo first = mFleet.add("b");
        DaemonInfo second = mFleet.add("c");
        ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
        try {
            GrantorService service =
                    new GrantorService(
                            new Config(),
                            mFleet.directory(grantor),
                            mFleet.network(grantor),
                            mTicker,
                            control);
            mFleet.owner = grantor.vm();
            service.updateLedgers();
            double granted = service.handle(shareRequest(first)).addedTokens();
            assertThat(granted).isPositive();
            mFleet.owner = second.vm();
            service.updateLedgers();
            mTicker.advanceMillis(500);
            mFleet.owner = grantor.vm();
            service.updateLedgers();
            ShareReply reply = service.handle(shareRequest(second));
            assertThat(granted + reply.addedTokens()).isLessThanOrEqualTo(BURST + 0.01);
        } finally {
            control.shutdownNow();
        }
    }

    /** Returns a request of a holder without a share whose demand exceeds the burst. */
    private static ShareRequest shareRequest(DaemonInfo holder) {
        return new ShareRequest(WORKSPACE, holder.vm(), 1, 1_000, 0, 0, 0, 0, 0, 0, 1, 0, 0, 50);
    }
}
