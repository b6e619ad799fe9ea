package org.heathercourse.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.heathercourse.testing.hosted.TargetStandIn;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to a target that has said in a response that it leaves, while its row
 * does not say so.
 */
class ServerLeavingTest {
    private static final int TARGET_COUNT = 3;
    private static final int REQUESTS = 12;

    private GatewayFixture mFixture;
    private TargetStandIn mLeaving;
    private TargetStandIn mOther;

    @BeforeEach
    void start() throws IOException {
        mFixture = new GatewayFixture().start();
        mFixture.awaitUsableTargets(TARGET_COUNT);
        mFixture.resetTargets();
        mLeaving = mFixture.engines().get(0);
        mOther = mFixture.engines().get(1);
    }

    @AfterEach
    void stop() {
        mFixture.close();
    }

    /** Sends streams until the target that leaves has got one, and says that it leaves. */
    private void hearLeaving() throws IOException {
        mLeaving.setLeaving(true);
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(
                        () -> {
                            mFixture.stream();
                            return !mLeaving.receivedRequests().isEmpty();
                        });
        mFixture.awaitUsableTargets(TARGET_COUNT - 1);
    }

    private void assertLeavingTargetGetsNothing() throws IOException {
        mFixture.resetTargets();
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(mFixture.stream().body()).isEqualTo(GatewayFixture.allEvents());
        }
        assertThat(mLeaving.receivedRequests()).isEmpty();
        assertThat(mOther.receivedRequests()).hasSize(REQUESTS);
    }

    @Test
    void successResponseTellsThatTargetLeaves() throws IOException {
        hearLeaving();
        assertLeavingTargetGetsNothing();
        assertThat(mFixture.metrics()).contains("targets_leaving_by_own_word_total 1");
    }

    @Test
    void errorResponseTellsThatTargetLeaves() throws IOException {
        mLeaving.enqueueFaults(Fault.FAIL);
        hearLeaving();
        assertLeavingTargetGetsNothing();
    }

    /** The request goes on at another target, and later ones are not sent there any more. */
    @Test
    void refusalTellsThatTargetLeaves() throws IOException {
        mLeaving.enqueueFaults(Fault.REFUSE);
        hearLeaving();
        assertThat(mLeaving.executedRequests()).isEmpty();
        assertLeavingTargetGetsNothing();
    }

    @Test
    void responseTellsThatTargetLeavesWhileStoreIsAway() throws IOException {
        mFixture.deployment().store().setMode(StoreStandIn.Mode.UNRESPONSIVE);
        hearLeaving();
        assertLeavingTargetGetsNothing();
    }

    /** A row that is older than the word, or lapsed and is back, must not bring the target back. */
    @Test
    void rowsOfSameStartDoNotBringTargetBack() throws IOException {
        hearLeaving();
        mFixture.registerEngine(mLeaving, "ready");
        mFixture.deployment().store().unregister(mLeaving.id());
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> mFixture.metrics().contains("targets_listed 2\n"));
        mFixture.registerEngine(mLeaving, "ready");
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(() -> mFixture.metrics().contains("targets_listed 3\n"));
        assertLeavingTargetGetsNothing();
    }

    /** A new start of the target, also at the same address, begins without the mark. */
    @Test
    void newStartOfTargetGetsRequests() throws IOException {
        hearLeaving();
        mLeaving.setLeaving(false);
        int startsBefore = mLeaving.startCount();
        mLeaving.crash();
        await().atMost(GatewayFixture.MAX_WAIT).until(() -> mLeaving.startCount() > startsBefore);
        mFixture.registerEngine(mLeaving, "ready");
        mFixture.awaitUsableTargets(TARGET_COUNT);
        mFixture.resetTargets();
        await().atMost(GatewayFixture.MAX_WAIT)
                .until(
                        () -> {
                            mFixture.stream();
                            return !mLeaving.executedRequests().isEmpty();
                        });
    }
}
