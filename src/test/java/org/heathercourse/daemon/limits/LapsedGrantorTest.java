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

/** Guards against a burst that is granted twice because the grantor's lease lapsed for a while. */
class LapsedGrantorTest {
    private static final WorkspaceId MILL = new WorkspaceId("mill");
    private static final double BURST = 20;

    private final FakeFleet mFleet = new FakeFleet();
    private final ManualTicker mTicker = new ManualTicker();

    private static final class Config implements ConfigSource {
        @Override
        public DeploymentConfig current() {
            WorkspaceSpec mill = new WorkspaceSpec(MILL, List.of(), 0.001, BURST, 0, 1);
            return DeploymentConfig.builder().workspaces(List.of(mill)).build();
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
    void leaseThatReturnsUnderTheSameFenceKeepsItsLedger() {
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
            service.observe();
            double granted = service.handle(ask(first)).addedTokens();
            assertThat(granted).isPositive();
            mFleet.owner = second.vm();
            service.observe();
            mTicker.advanceMillis(500);
            mFleet.owner = grantor.vm();
            service.observe();
            ShareReply reply = service.handle(ask(second));
            assertThat(granted + reply.addedTokens()).isLessThanOrEqualTo(BURST + 0.01);
        } finally {
            control.shutdownNow();
        }
    }

    /** Asks for as much as there is, as a holder without a share. */
    private static ShareRequest ask(DaemonInfo holder) {
        return new ShareRequest(MILL, holder.vm(), 1, 1_000, 0, 0, 0, 0, 0, 0, 1, 0, 0, 50);
    }
}
