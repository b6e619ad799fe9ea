package org.heathercourse.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.StoreChannel;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that stops serving because the store refuses its VM alone. */
class RelayingChannelTest {
    private static final StoreChannel.Request READ =
            new StoreChannel.Request("GET", "/read", new byte[0]);
    private static final StoreChannel.Request WRITE =
            new StoreChannel.Request("POST", "/write", new byte[1]);
    private static final long TIMEOUT_MILLIS = 500;

    private final TestTime mTime = new TestTime();
    private CompletableFuture<StoreChannel.Reply> mDirectReply = ok();
    private CompletableFuture<StoreChannel.Reply> mPeerReply = ok();
    private int mDirectCalls;
    private int mPeerCalls;
    private final RelayingChannel mChannel =
            new RelayingChannel(
                    (request, timeout) -> {
                        mDirectCalls++;
                        return mDirectReply;
                    },
                    mTime.ticker());

    RelayingChannelTest() {
        mChannel.setPeers(
                (request, timeout) -> {
                    mPeerCalls++;
                    return mPeerReply;
                });
    }

    private static CompletableFuture<StoreChannel.Reply> ok() {
        return CompletableFuture.completedFuture(new StoreChannel.Reply(200, new byte[0]));
    }

    private static CompletableFuture<StoreChannel.Reply> status(int status) {
        return CompletableFuture.completedFuture(new StoreChannel.Reply(status, new byte[0]));
    }

    private static CompletableFuture<StoreChannel.Reply> lost() {
        return CompletableFuture.failedFuture(StoreException.outcomeUnknown("lost", null));
    }

    private boolean succeeds(StoreChannel.Request request) {
        return !mChannel.send(request, TIMEOUT_MILLIS).isCompletedExceptionally();
    }

    @Test
    void peersAreLeftAloneWhileTheDirectWayWorks() {
        assertThat(succeeds(READ)).isTrue();
        assertThat(mPeerCalls).isZero();
    }

    @Test
    void readsAndCertainlyUndoneWritesGoThroughPeers() {
        mDirectReply = status(503);
        assertThat(succeeds(READ)).isTrue();
        assertThat(succeeds(WRITE)).isTrue();
        assertThat(mChannel.usesPeers()).isTrue();
    }

    @Test
    void writeThatMayBeDoneIsNotSentAgain() {
        mDirectReply = lost();
        assertThat(succeeds(WRITE)).isFalse();
        assertThat(mPeerCalls).isZero();
        assertThat(succeeds(READ)).isTrue();
    }

    @Test
    void conflictsAndLostHistoryAreAnswersNotFailures() {
        mDirectReply = status(412);
        assertThat(succeeds(WRITE)).isTrue();
        mDirectReply = status(410);
        assertThat(succeeds(READ)).isTrue();
        assertThat(mPeerCalls).isZero();
    }

    @Test
    void directWayIsTriedNowAndThenAndTakenAgain() {
        mDirectReply = status(429);
        succeeds(READ);
        int callsBefore = mDirectCalls;
        mDirectReply = ok();
        succeeds(READ);
        assertThat(mDirectCalls).isEqualTo(callsBefore);
        mTime.advanceMillis(RelayingChannel.PROBE_MILLIS);
        succeeds(READ);
        assertThat(mDirectCalls).isEqualTo(callsBefore + 1);
        assertThat(mChannel.usesPeers()).isFalse();
    }

    @Test
    void outageForAllDoesNotFloodThePeers() {
        mDirectReply = status(503);
        mPeerReply = lost();
        for (int i = 0; i < 20; i++) {
            assertThat(succeeds(READ)).isFalse();
        }
        assertThat(mPeerCalls).isEqualTo(1);
        mTime.advanceMillis(RelayingChannel.REST_MILLIS);
        assertThat(succeeds(READ)).isFalse();
        assertThat(mPeerCalls).isEqualTo(2);
    }
}
