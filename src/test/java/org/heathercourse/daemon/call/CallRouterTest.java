package org.heathercourse.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.heathercourse.daemon.call.CallFixture.bytes;
import static org.heathercourse.daemon.call.CallFixture.chatBody;
import static org.heathercourse.daemon.call.CallFixture.modelCall;
import static org.heathercourse.daemon.call.CallFixture.plainCall;
import static org.heathercourse.daemon.call.CallFixture.readAnswer;

import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.CallFixture.ObservedAnswer;
import org.heathercourse.daemon.peer.NettyPeerNetwork;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of the routing of calls: forwarding, waiting for owners, resuming after the loss of an
 * owner.
 */
class CallRouterTest {
    private final CallSettings mSettings = CallSettings.DEFAULT.withOwnerTimeoutMillis(1500);
    private final Ticker mTicker = Ticker.system();
    private final CallFixture mOwner = new CallFixture();
    private final DaemonInfo mForwarderInfo = FakeShards.daemon("front", 1);
    private final FakeShards mForwarderShards = new FakeShards(mForwarderInfo, null);
    private final CallFixture mForwarder = new CallFixture(mSettings, mForwarderShards, mTicker);
    private NettyPeerNetwork mOwnerNetwork;
    private NettyPeerNetwork mForwarderNetwork;
    private DaemonInfo mOwnerInfo;
    private CallRouter mRouter;

    @BeforeEach
    void start() {
        mOwnerNetwork = network(mOwner.shards.self(), 0);
        mOwnerInfo = FakeShards.daemon("vm-1", mOwnerNetwork.start());
        new CallAcceptor(mOwner.executor, new ProgramOps(mOwner.executor)).register(mOwnerNetwork);
        mForwarderNetwork = network(mForwarderInfo, 0);
        mRouter =
                new CallRouter(
                        mForwarder.executor,
                        mForwarderNetwork,
                        mForwarderShards,
                        mForwarder.config,
                        mSettings,
                        mTicker);
    }

    private NettyPeerNetwork network(DaemonInfo self, int port) {
        PeerSettings settings = new PeerSettings("127.0.0.1", port, new byte[] {9}, 1);
        return new NettyPeerNetwork(settings, () -> self, mTicker, new SplittableRandom(port + 1));
    }

    @AfterEach
    void stop() {
        mForwarderNetwork.close();
        mOwnerNetwork.close();
        mForwarder.close();
        mOwner.close();
    }

    /** Guards against answers that are altered while they are forwarded. */
    @Test
    void forwardsCallsToTheOwner() {
        mForwarderShards.owner = mOwnerInfo;
        ObservedAnswer observed =
                readAnswer(mRouter.open(modelCall("r").build(), chatBody(true, "hello")));
        assertThat(observed.durability()).isEqualTo("durable");
        assertThat(observed.body())
                .isEqualTo(mOwner.run(modelCall("r"), chatBody(true, "hello")).body());
        String large = "x".repeat(600_000);
        mOwner.targets.plainScript =
                (address, request) -> FakeTargets.okResponse(mOwner.targets.plainBodies.get(0));
        ObservedAnswer echoed =
                readAnswer(mRouter.open(plainCall("r2", "/x").build(), bytes(large)));
        assertThat(echoed.body()).isEqualTo(large);
        assertThat(mForwarder.log.records()).isEmpty();
    }

    /** Guards against a refusal although a new owner appears within the timeout. */
    @Test
    void waitsForNewOwner() throws Exception {
        Answer answer = mRouter.open(modelCall("r").build(), chatBody(false, "hello"));
        assertThat(answer.next(200)).isNull();
        mForwarderShards.owner = mOwnerInfo;
        assertThat(readAnswer(answer).body()).contains("one two three");
    }

    /**
     * Guards against an endless wait for an owner, and against an error without "not run" for a
     * call that was never sent.
     */
    @Test
    void failsWithoutAnOwner() {
        ObservedAnswer observed =
                readAnswer(mRouter.open(modelCall("r").build(), chatBody(false, "hello")));
        assertThat(observed.error().kind()).isEqualTo("owner_unavailable");
        assertThat(observed.error().notRun()).isTrue();
        mForwarderShards.owner = FakeShards.daemon("gone", 1);
        ObservedAnswer unreachable =
                readAnswer(mRouter.open(plainCall("r", "/pay").build(), bytes("1")));
        assertThat(unreachable.error().notRun()).isTrue();
    }

    /** Guards against bytes that are lost or duplicated when the link breaks during a stream. */
    @Test
    void reattachesAfterLinkFailure() throws Exception {
        CountDownLatch unblock = new CountDownLatch(1);
        mOwner.targets.engineScript =
                (request, listener) -> {
                    listener.onToken(0, "one");
                    try {
                        unblock.await();
                    } catch (InterruptedException e) {
                        return;
                    }
                    listener.onToken(1, " two");
                    listener.onComplete("stop", new Usage(1, 2, 0));
                };
        mForwarderShards.owner = mOwnerInfo;
        Answer answer = mRouter.open(modelCall("r").build(), chatBody(true, "hello"));
        StringBuilder received = new StringBuilder();
        while (!received.toString().contains("\"one\"")) {
            PeerMessage message = answer.next(10_000);
            if (message instanceof PeerMessage.CallChunk c) {
                received.append(new String(c.bytes()));
            }
        }
        mOwnerNetwork.close();
        mOwnerNetwork = network(mOwner.shards.self(), 0);
        new CallAcceptor(mOwner.executor, new ProgramOps(mOwner.executor)).register(mOwnerNetwork);
        mForwarderShards.owner = FakeShards.daemon("vm-1", mOwnerNetwork.start());
        unblock.countDown();
        ObservedAnswer rest = readAnswer(answer);
        assertThat(rest.error()).isNull();
        String whole = mOwner.run(modelCall("r"), chatBody(true, "hello")).body();
        assertThat(received + rest.body()).isEqualTo(whole);
        assertThat(mOwner.targets.generateRequests).hasSize(1);
    }

    /** Guards against "not run" in the error of a call that the lost owner may have dispatched. */
    @Test
    void reportsUnknownOutcomeWhenTheOwnerIsLostAfterSending() throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        mOwner.targets.plainScript =
                (address, request) -> {
                    sent.countDown();
                    try {
                        new CountDownLatch(1).await();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                    return FakeTargets.okResponse("never");
                };
        mForwarderShards.owner = mOwnerInfo;
        Answer answer = mRouter.open(plainCall("r", "/pay").build(), bytes("1"));
        assertThat(answer.next(10)).isNull();
        sent.await();
        mOwnerNetwork.close();
        ObservedAnswer observed = readAnswer(answer);
        assertThat(observed.error().kind()).isEqualTo("outcome_unknown");
        assertThat(observed.error().notRun()).isFalse();
        assertThat(mOwner.targets.plainRequests).hasSize(1);
    }

    /** Guards against an answer that mixes the attempts of two owners. */
    @Test
    void rerunsModelCallsAtNewOwnerAndSkipsOnlyIdenticalBytes() throws Exception {
        assertThat(runWithTakeover("one").error()).isNull();
        assertThat(runWithTakeover("other").error().kind()).isEqualTo("target_failed");
    }

    /** Streams one piece, loses the owner, and reads the rest from a new owner. */
    private ObservedAnswer runWithTakeover(String firstPiece) throws Exception {
        FakeShards shards =
                new FakeShards(FakeShards.daemon("vm-2", 1), FakeShards.daemon("vm-2", 1));
        try (CallFixture lostOwner = new CallFixture();
                CallFixture newOwner = new CallFixture(CallSettings.DEFAULT, shards, mTicker)) {
            NettyPeerNetwork lostOwnerNetwork = network(lostOwner.shards.self(), 0);
            new CallAcceptor(lostOwner.executor, new ProgramOps(lostOwner.executor))
                    .register(lostOwnerNetwork);
            NettyPeerNetwork newOwnerNetwork = network(newOwner.shards.self(), 0);
            new CallAcceptor(newOwner.executor, new ProgramOps(newOwner.executor))
                    .register(newOwnerNetwork);
            lostOwner.targets.engineScript = (request, listener) -> listener.onToken(0, firstPiece);
            mForwarderShards.owner = FakeShards.daemon("vm-1", lostOwnerNetwork.start());
            Answer answer = mRouter.open(modelCall("r").build(), chatBody(true, "hello"));
            StringBuilder received = new StringBuilder();
            while (!received.toString().contains(firstPiece)) {
                if (answer.next(10_000) instanceof PeerMessage.CallChunk c) {
                    received.append(new String(c.bytes()));
                }
            }
            lostOwnerNetwork.close();
            mForwarderShards.owner = FakeShards.daemon("vm-2", newOwnerNetwork.start());
            ObservedAnswer rest = readAnswer(answer);
            if (rest.error() == null) {
                String whole = newOwner.run(modelCall("r"), chatBody(true, "hello")).body();
                assertThat(received + rest.body()).isEqualTo(whole);
            }
            newOwnerNetwork.close();
            return rest;
        }
    }
}
