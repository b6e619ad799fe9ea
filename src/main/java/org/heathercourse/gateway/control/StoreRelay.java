package org.heathercourse.gateway.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.daemon.peer.PeerMessage.StoreCall;
import org.heathercourse.daemon.peer.PeerMessage.StoreReply;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.gateway.store.PeerChannel;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.StoreChannel;

/**
 * Client and server of store requests that one gateway relays for another. Safe for use by several
 * threads.
 */
final class StoreRelay implements PeerChannel {
    /** Time in milliseconds that the network between both gateways may add to a request. */
    private static final long PEER_LATENCY_MILLIS = 150;

    private final PeerNetwork mPeers;
    private final ClusterView mClusterView;
    private final Member mSelf;
    private final StoreChannel mDirectChannel;
    private final RandomGenerator mRandom;
    private volatile Member mRelayPeer;

    StoreRelay(
            PeerNetwork peers,
            ClusterView clusterView,
            Member self,
            StoreChannel directChannel,
            RandomGenerator random) {
        mPeers = peers;
        mClusterView = clusterView;
        mSelf = self;
        mDirectChannel = directChannel;
        mRandom = random;
        peers.onRequest(StoreCall.class, this::onCall);
    }

    @Override
    public CompletableFuture<StoreChannel.Reply> send(
            StoreChannel.Request request, long timeoutMillis) {
        Member relayPeer = selectRelayPeer();
        if (relayPeer == null) {
            return CompletableFuture.failedFuture(
                    StoreException.unavailable("no other gateway can relay the request", null));
        }
        StoreCall call =
                new StoreCall(request.method(), request.uri(), request.body(), timeoutMillis);
        return mPeers.request(
                        PeerAddress.of(relayPeer),
                        call,
                        StoreReply.class,
                        timeoutMillis + PEER_LATENCY_MILLIS)
                .handle(
                        (reply, error) -> {
                            if (error != null || reply.status() == 0) {
                                mRelayPeer = null;
                            }
                            if (error != null) {
                                throw StoreException.outcomeUnknown(
                                        "gateway " + relayPeer.vm() + " did not reply", error);
                            }
                            return toStoreReply(relayPeer, reply);
                        });
    }

    private static StoreChannel.Reply toStoreReply(Member relayPeer, StoreReply reply) {
        if (reply.status() != 0) {
            return new StoreChannel.Reply(reply.status(), reply.body());
        }
        String message = "the store did not reply to gateway " + relayPeer.vm() + " either";
        throw reply.outcomeUnknown()
                ? StoreException.outcomeUnknown(message, null)
                : StoreException.unavailable(message, null);
    }

    /**
     * Returns the gateway of the last successful relay, else a random one; null if none is live.
     */
    private Member selectRelayPeer() {
        Member relayPeer = mRelayPeer;
        if (relayPeer == null) {
            List<Member> others =
                    mClusterView.fleet().members().stream()
                            .filter(member -> !member.vm().equals(mSelf.vm()))
                            .toList();
            relayPeer = others.isEmpty() ? null : others.get(mRandom.nextInt(others.size()));
            mRelayPeer = relayPeer;
        }
        return relayPeer;
    }

    private CompletableFuture<StoreReply> onCall(StoreCall call) {
        StoreChannel.Request request =
                new StoreChannel.Request(call.method(), call.uri(), call.body());
        return mDirectChannel
                .send(request, call.timeoutMillis())
                .handle(
                        (reply, error) -> {
                            if (error == null) {
                                return new StoreReply(reply.status(), reply.body(), false);
                            }
                            boolean isOutcomeUnknown =
                                    !(error instanceof StoreException e) || e.outcomeUnknown();
                            return new StoreReply(0, new byte[0], isOutcomeUnknown);
                        });
    }
}
