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

/** Both ends of calls to the store through another gateway. Safe for use by several threads. */
final class StoreRelay implements PeerChannel {
    /** Time in milliseconds that the way between both gateways may add. */
    private static final long WAY_MILLIS = 150;

    private final PeerNetwork mPeers;
    private final ClusterView mClusterView;
    private final Member mSelf;
    private final StoreChannel mDirect;
    private final RandomGenerator mRandom;
    private volatile Member mHelper;

    StoreRelay(
            PeerNetwork peers,
            ClusterView clusterView,
            Member self,
            StoreChannel direct,
            RandomGenerator random) {
        mPeers = peers;
        mClusterView = clusterView;
        mSelf = self;
        mDirect = direct;
        mRandom = random;
        peers.onRequest(StoreCall.class, this::onCall);
    }

    @Override
    public CompletableFuture<StoreChannel.Reply> send(
            StoreChannel.Request request, long timeoutMillis) {
        Member helper = helper();
        if (helper == null) {
            return CompletableFuture.failedFuture(
                    StoreException.unavailable("no other gateway is known", null));
        }
        StoreCall call =
                new StoreCall(request.method(), request.uri(), request.body(), timeoutMillis);
        return mPeers.request(
                        PeerAddress.of(helper), call, StoreReply.class, timeoutMillis + WAY_MILLIS)
                .handle(
                        (reply, error) -> {
                            if (error != null || reply.status() == 0) {
                                mHelper = null;
                            }
                            if (error != null) {
                                throw StoreException.outcomeUnknown(
                                        "gateway " + helper.vm() + " did not answer", error);
                            }
                            return unwrap(helper, reply);
                        });
    }

    private static StoreChannel.Reply unwrap(Member helper, StoreReply reply) {
        if (reply.status() != 0) {
            return new StoreChannel.Reply(reply.status(), reply.body());
        }
        String message = "the store does not answer gateway " + helper.vm() + " either";
        throw reply.outcomeUnknown()
                ? StoreException.outcomeUnknown(message, null)
                : StoreException.unavailable(message, null);
    }

    /** Returns the gateway that helped last, or a random one. */
    private Member helper() {
        Member helper = mHelper;
        if (helper == null) {
            List<Member> others =
                    mClusterView.fleet().members().stream()
                            .filter(member -> !member.vm().equals(mSelf.vm()))
                            .toList();
            helper = others.isEmpty() ? null : others.get(mRandom.nextInt(others.size()));
            mHelper = helper;
        }
        return helper;
    }

    private CompletableFuture<StoreReply> onCall(StoreCall call) {
        StoreChannel.Request request =
                new StoreChannel.Request(call.method(), call.uri(), call.body());
        return mDirect.send(request, call.timeoutMillis())
                .handle(
                        (reply, error) -> {
                            if (error == null) {
                                return new StoreReply(reply.status(), reply.body(), false);
                            }
                            boolean unknown =
                                    !(error instanceof StoreException e) || e.outcomeUnknown();
                            return new StoreReply(0, new byte[0], unknown);
                        });
    }
}
