package org.heathercourse.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.StoreChannel;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that stops serving because the store refuses only its VM. */
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
        mChannel.setPeerChannel(
                (request, timeout) -> {
                    mPeerCalls++;
                    return mPeerReply;
                });
    }

    private static CompletableFuture<StoreChannel.Reply> ok() {
        return CompletableFuture.completedFuture(new StoreChannel.Reply(200, new byte[0]));
    }

    private static CompletableFuture<StoreChannel.Reply> replyWithStatus(int status) {
        return CompletableFuture.completedFuture(new StoreChannel.Reply(status, new byte[0]));
    }

    private static CompletableFuture<StoreChannel.Reply> outcomeUnknown() {
        return CompletableFuture.failedFuture(StoreException.outcomeUnknown("lost", null));
    }

    private boolean sendSucceeds(StoreChannel.Request request) {
        return !mChannel.send(request, TIMEOUT_MILLIS).isCompletedExceptionally();
    }

    @Test
    void usesNoPeerWhileDirectChannelWorks() {
        assertThat(sendSucceeds(READ)).isTrue();
        assertThat(mPeerCalls).isZero();
    }

    @Test
    void relaysReadsAndRejectedWrites() {
        mDirectReply = replyWithStatus(503);
        assertThat(sendSucceeds(READ)).isTrue();
        assertThat(sendSucceeds(WRITE)).isTrue();
        assertThat(mChannel.usesPeers()).isTrue();
    }

    @Test
    void doesNotResendWriteWithUnknownOutcome() {
        mDirectReply = outcomeUnknown();
        assertThat(sendSucceeds(WRITE)).isFalse();
        assertThat(mPeerCalls).isZero();
        assertThat(sendSucceeds(READ)).isTrue();
    }

    /**
     * Guards against a read that waits twice, because the connections of the peer that relays it
     * are as silent as the one that it was sent over.
     */
    @Test
    void readIsSentOverNewConnectionWhilePeerIsSilent() {
        CompletableFuture<StoreChannel.Reply> lost = new CompletableFuture<>();
        mDirectReply = lost;
        mPeerReply = new CompletableFuture<>();
        CompletableFuture<StoreChannel.Reply> reply = mChannel.send(READ, TIMEOUT_MILLIS);
        mDirectReply = ok();
        lost.completeExceptionally(StoreException.outcomeUnknown("no reply", null));
        assertThat(reply).isCompleted();
        assertThat(mPeerCalls).isEqualTo(1);
        assertThat(mChannel.usesPeers()).isFalse();
    }

    @Test
    void readFailsOnceNewConnectionAndPeerHaveFailed() {
        mDirectReply = outcomeUnknown();
        mPeerReply = new CompletableFuture<>();
        CompletableFuture<StoreChannel.Reply> reply = mChannel.send(READ, TIMEOUT_MILLIS);
        assertThat(reply).isNotDone();
        mPeerReply.completeExceptionally(StoreException.unavailable("refused", null));
        assertThat(reply).isCompletedExceptionally();
    }

    @Test
    void treatsConflictsAndLostHistoryAsReplies() {
        mDirectReply = replyWithStatus(412);
        assertThat(sendSucceeds(WRITE)).isTrue();
        mDirectReply = replyWithStatus(410);
        assertThat(sendSucceeds(READ)).isTrue();
        assertThat(mPeerCalls).isZero();
    }

    @Test
    void probesDirectChannelAndSwitchesBack() {
        mDirectReply = replyWithStatus(429);
        sendSucceeds(READ);
        int callsBefore = mDirectCalls;
        mDirectReply = ok();
        sendSucceeds(READ);
        assertThat(mDirectCalls).isEqualTo(callsBefore);
        mTime.advanceMillis(RelayingChannel.PROBE_PERIOD_MILLIS);
        sendSucceeds(READ);
        assertThat(mDirectCalls).isEqualTo(callsBefore + 1);
        assertThat(mChannel.usesPeers()).isFalse();
    }

    @Test
    void backsOffFromPeersDuringFullOutage() {
        mDirectReply = replyWithStatus(503);
        mPeerReply = outcomeUnknown();
        for (int i = 0; i < 20; i++) {
            assertThat(sendSucceeds(READ)).isFalse();
        }
        assertThat(mPeerCalls).isEqualTo(1);
        mTime.advanceMillis(RelayingChannel.PEER_BACKOFF_MILLIS);
        assertThat(sendSucceeds(READ)).isFalse();
        assertThat(mPeerCalls).isEqualTo(2);
    }
}
