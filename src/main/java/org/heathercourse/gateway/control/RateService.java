package org.heathercourse.gateway.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.limits.RateGrant;
import org.heathercourse.core.limits.RateRequest;
import org.heathercourse.core.limits.RateSearch;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.PeerMessage.RateReply;
import org.heathercourse.daemon.peer.PeerMessage.RateReserve;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.log.EventLog;

/**
 * Admits requests within the rates of workspaces at the gateways that own them.
 *
 * <p>Safe for use by several threads.
 */
public final class RateService {
    /** Longest time in milliseconds that an owner may take: several round trips between zones. */
    private static final long OWNER_MILLIS = 80;

    /** Time in milliseconds for which an owner that did not answer is left out. */
    private static final long SILENT_MILLIS = 1_000;

    private static final EventLog LOG = EventLog.of(RateService.class);

    private final PeerNetwork mPeers;
    private final ClusterView mClusterView;
    private final Member mSelf;
    private final Ticker mTicker;
    private final LocalOwner mOwner;
    private final Map<String, Long> mSilentUntilMillis = new ConcurrentHashMap<>();
    private final AtomicInteger mTurn = new AtomicInteger();

    /** Admits requests within the parts of rates that this gateway owns. */
    @FunctionalInterface
    public interface LocalOwner {
        /**
         * Admits requests.
         *
         * @param workspace name of the workspace
         * @param ask what is asked for
         */
        CompletableFuture<RateGrant> reserve(String workspace, RateRequest ask);
    }

    /**
     * What became of a request.
     *
     * @param grant the answer of the owner that admitted it; if none did, the shortest wait offered
     * @param owner that owner; null if none admitted it
     */
    public record Outcome(RateGrant grant, String owner) {}

    RateService(
            PeerNetwork peers,
            ClusterView clusterView,
            Member self,
            Ticker ticker,
            LocalOwner owner) {
        mPeers = peers;
        mClusterView = clusterView;
        mSelf = self;
        mTicker = ticker;
        mOwner = owner;
        peers.onRequest(
                RateReserve.class,
                message ->
                        owner.reserve(message.workspace(), askIn(message))
                                .thenApply(g -> new RateReply(g.granted(), g.waitMillis())));
    }

    /**
     * Admits a request.
     *
     * @param workspace name of the workspace
     * @param owners owners of its rate
     * @param ask what is asked for
     * @return what became of it; never fails
     */
    public CompletableFuture<Outcome> reserve(
            String workspace, List<String> owners, RateRequest ask) {
        return step(new RateSearch(inOrder(owners), ask.maxWaitMillis()), workspace, ask);
    }

    private CompletableFuture<Outcome> step(RateSearch search, String workspace, RateRequest ask) {
        RateSearch.Query question = search.next();
        if (question == null) {
            RateGrant none = new RateGrant(false, search.shortestWaitMillis());
            return CompletableFuture.completedFuture(new Outcome(none, null));
        }
        return askOwner(
                        question.owner(),
                        workspace,
                        ask.withMaxWaitMillis(question.maxWaitMillis()))
                .thenCompose(
                        grant -> {
                            if (grant.granted()) {
                                return CompletableFuture.completedFuture(
                                        new Outcome(grant, question.owner()));
                            }
                            search.onRejected(grant);
                            return step(search, workspace, ask);
                        });
    }

    private static RateRequest askIn(RateReserve message) {
        return new RateRequest(message.newcomer(), message.mostWaitMillis());
    }

    private CompletableFuture<RateGrant> askOwner(String owner, String workspace, RateRequest ask) {
        if (owner.equals(mSelf.vm().value())) {
            return mOwner.reserve(workspace, ask);
        }
        Optional<Member> member = mClusterView.fleet().member(new VmId(owner));
        if (member.isEmpty()) {
            return CompletableFuture.completedFuture(RateGrant.NONE);
        }
        return mPeers.request(
                        PeerAddress.of(member.get()),
                        new RateReserve(workspace, ask.newProgram(), ask.maxWaitMillis()),
                        RateReply.class,
                        OWNER_MILLIS)
                .thenApply(reply -> new RateGrant(reply.granted(), reply.waitMillis()))
                .exceptionally(error -> silent(owner, workspace, error));
    }

    /** Tokens of a lost reply are lost, which is the safe side. */
    private RateGrant silent(String owner, String workspace, Throwable error) {
        mSilentUntilMillis.put(owner, mTicker.readMillis() + SILENT_MILLIS);
        LOG.info(
                "rate_owner_silent",
                "workspace",
                workspace,
                "owner",
                owner,
                "reason",
                error.getMessage());
        return RateGrant.NONE;
    }

    private List<String> inOrder(List<String> owners) {
        return RateSearch.orderOwners(
                owners,
                mSelf.vm().value(),
                mTurn.getAndIncrement(),
                owner -> mTicker.readMillis() < mSilentUntilMillis.getOrDefault(owner, 0L));
    }
}
