package org.heathercourse.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.heathercourse.daemon.call.CallFixture.bytes;
import static org.heathercourse.daemon.call.CallFixture.chat;
import static org.heathercourse.daemon.call.CallFixture.model;
import static org.heathercourse.daemon.call.CallFixture.plain;
import static org.heathercourse.daemon.call.CallFixture.read;

import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.CallFixture.Seen;
import org.heathercourse.daemon.peer.NettyPeerNetwork;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the front side of calls: forwarding, waiting for owners, attaching again. */
class CallRouterTest {
    private final CallSettings mSettings = CallSettings.DEFAULT.withOwnerTimeoutMillis(1500);
    private final Ticker mTicker = Ticker.system();
    private final CallFixture mOwner = new CallFixture();
    private final DaemonInfo mFrontInfo = FakeShards.daemon("front", 1);
    private final FakeShards mFrontShards = new FakeShards(mFrontInfo, null);
    private final CallFixture mFront = new CallFixture(mSettings, mFrontShards, mTicker);
    private NettyPeerNetwork mOwnerNetwork;
    private NettyPeerNetwork mFrontNetwork;
    private DaemonInfo mOwnerInfo;
    private CallRouter mRouter;

    @BeforeEach
    void start() {
        mOwnerNetwork = network(mOwner.shards.self(), 0);
        mOwnerInfo = FakeShards.daemon("vm-1", mOwnerNetwork.start());
        new CallAcceptor(mOwner.executor, new ProgramOps(mOwner.executor)).register(mOwnerNetwork);
        mFrontNetwork = network(mFrontInfo, 0);
        mRouter =
                new CallRouter(
                        mFront.executor,
                        mFrontNetwork,
                        mFrontShards,
                        mFront.config,
                        mSettings,
                        mTicker);
    }

    private NettyPeerNetwork network(DaemonInfo self, int port) {
        PeerSettings settings = new PeerSettings("127.0.0.1", port, new byte[] {9}, 1);
        return new NettyPeerNetwork(settings, () -> self, mTicker, new SplittableRandom(port + 1));
    }

    @AfterEach
    void stop() {
        mFrontNetwork.close();
        mOwnerNetwork.close();
        mFront.close();
        mOwner.close();
    }

    /** Guards against answers that change on their way through another daemon. */
    @Test
    void forwardsCallsToTheOwner() {
        mFrontShards.owner = mOwnerInfo;
        Seen seen = read(mRouter.open(model("r").build(), chat(true, "hello")));
        assertThat(seen.durability()).isEqualTo("durable");
        assertThat(seen.body()).isEqualTo(mOwner.run(model("r"), chat(true, "hello")).body());
        String large = "x".repeat(600_000);
        mOwner.targets.plain = (address, request) -> FakeTargets.ok(mOwner.targets.bodies.get(0));
        Seen echoed = read(mRouter.open(plain("r2", "/x").build(), bytes(large)));
        assertThat(echoed.body()).isEqualTo(large);
        assertThat(mFront.log.records()).isEmpty();
    }

    /** Guards against a refusal although a new owner appears in time. */
    @Test
    void waitsForNewOwner() throws Exception {
        Answer answer = mRouter.open(model("r").build(), chat(false, "hello"));
        assertThat(answer.next(200)).isNull();
        mFrontShards.owner = mOwnerInfo;
        assertThat(read(answer).body()).contains("one two three");
    }

    /** Guards against an endless wait, and against a wrong statement about execution. */
    @Test
    void givesUpWithoutAnOwner() {
        Seen seen = read(mRouter.open(model("r").build(), chat(false, "hello")));
        assertThat(seen.error().kind()).isEqualTo("owner_unavailable");
        assertThat(seen.error().notRun()).isTrue();
        mFrontShards.owner = FakeShards.daemon("gone", 1);
        Seen unreachable = read(mRouter.open(plain("r", "/pay").build(), bytes("1")));
        assertThat(unreachable.error().notRun()).isTrue();
    }

    /** Guards against bytes that are lost or doubled when the link breaks in mid-stream. */
    @Test
    void attachesAgainAfterTheLinkBroke() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        mOwner.targets.engine =
                (request, listener) -> {
                    listener.onToken(0, "one");
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        return;
                    }
                    listener.onToken(1, " two");
                    listener.onComplete("stop", new Usage(1, 2, 0));
                };
        mFrontShards.owner = mOwnerInfo;
        Answer answer = mRouter.open(model("r").build(), chat(true, "hello"));
        StringBuilder head = new StringBuilder();
        while (!head.toString().contains("\"one\"")) {
            PeerMessage message = answer.next(10_000);
            if (message instanceof PeerMessage.CallChunk c) {
                head.append(new String(c.bytes()));
            }
        }
        mOwnerNetwork.close();
        mOwnerNetwork = network(mOwner.shards.self(), 0);
        new CallAcceptor(mOwner.executor, new ProgramOps(mOwner.executor)).register(mOwnerNetwork);
        mFrontShards.owner = FakeShards.daemon("vm-1", mOwnerNetwork.start());
        go.countDown();
        Seen rest = read(answer);
        assertThat(rest.error()).isNull();
        String whole = mOwner.run(model("r"), chat(true, "hello")).body();
        assertThat(head + rest.body()).isEqualTo(whole);
        assertThat(mOwner.targets.generated).hasSize(1);
    }

    /** Guards against "not run" for a call that the lost owner may have dispatched. */
    @Test
    void reportsUnknownWhenTheOwnerIsLostAfterSending() throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        mOwner.targets.plain =
                (address, request) -> {
                    sent.countDown();
                    try {
                        new CountDownLatch(1).await();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                    return FakeTargets.ok("never");
                };
        mFrontShards.owner = mOwnerInfo;
        Answer answer = mRouter.open(plain("r", "/pay").build(), bytes("1"));
        assertThat(answer.next(10)).isNull();
        sent.await();
        mOwnerNetwork.close();
        Seen seen = read(answer);
        assertThat(seen.error().kind()).isEqualTo("outcome_unknown");
        assertThat(seen.error().notRun()).isFalse();
        assertThat(mOwner.targets.sent).hasSize(1);
    }

    /** Guards against an answer put together from the attempts of two owners. */
    @Test
    void runsModelCallsAgainAtNewOwnersAndSkipsOnlyTheSamePart() throws Exception {
        assertThat(takenOver("one").error()).isNull();
        assertThat(takenOver("other").error().kind()).isEqualTo("target_failed");
    }

    /** Streams one piece, loses the owner, and reads the rest from a new owner. */
    private Seen takenOver(String firstPiece) throws Exception {
        FakeShards shards =
                new FakeShards(FakeShards.daemon("vm-2", 1), FakeShards.daemon("vm-2", 1));
        try (CallFixture dying = new CallFixture();
                CallFixture next = new CallFixture(CallSettings.DEFAULT, shards, mTicker)) {
            NettyPeerNetwork dyingNetwork = network(dying.shards.self(), 0);
            new CallAcceptor(dying.executor, new ProgramOps(dying.executor)).register(dyingNetwork);
            NettyPeerNetwork nextNetwork = network(next.shards.self(), 0);
            new CallAcceptor(next.executor, new ProgramOps(next.executor)).register(nextNetwork);
            dying.targets.engine = (request, listener) -> listener.onToken(0, firstPiece);
            mFrontShards.owner = FakeShards.daemon("vm-1", dyingNetwork.start());
            Answer answer = mRouter.open(model("r").build(), chat(true, "hello"));
            StringBuilder seen = new StringBuilder();
            while (!seen.toString().contains(firstPiece)) {
                if (answer.next(10_000) instanceof PeerMessage.CallChunk c) {
                    seen.append(new String(c.bytes()));
                }
            }
            dyingNetwork.close();
            mFrontShards.owner = FakeShards.daemon("vm-2", nextNetwork.start());
            Seen rest = read(answer);
            if (rest.error() == null) {
                String whole = next.run(model("r"), chat(true, "hello")).body();
                assertThat(seen + rest.body()).isEqualTo(whole);
            }
            nextNetwork.close();
            return rest;
        }
    }
}
