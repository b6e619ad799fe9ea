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
 * Requests rate tokens of workspaces from the gateways that own the rates.
 *
 * <p>Safe for use by several threads.
 */
public final class RateService {
    /** Timeout in milliseconds of a request to an owner: several round trips between zones. */
    private static final long OWNER_TIMEOUT_MILLIS = 80;

    /** Time in milliseconds for which an owner is not queried after it failed to reply. */
    private static final long UNRESPONSIVE_OWNER_MILLIS = 1_000;

    private static final EventLog LOG = EventLog.of(RateService.class);

    private final PeerNetwork mPeers;
    private final ClusterView mClusterView;
    private final Member mSelf;
    private final Ticker mTicker;
    private final LocalOwner mLocalOwner;
    private final Map<String, Long> mUnresponsiveUntilMillis = new ConcurrentHashMap<>();
    private final AtomicInteger mRotation = new AtomicInteger();

    /** Grants tokens from the parts of rates that this gateway owns. */
    @FunctionalInterface
    public interface LocalOwner {
        /**
         * Requests a token.
         *
         * @param workspace name of the workspace
         * @param request terms of the request
         */
        CompletableFuture<RateGrant> reserve(String workspace, RateRequest request);
    }

    /**
     * The result of a token request.
     *
     * @param grant grant of the owner; if all owners rejected it, a rejection with the shortest
     *     wait
     * @param owner VM of the owner that granted the token; null if none did
     */
    public record Outcome(RateGrant grant, String owner) {}

    RateService(
            PeerNetwork peers,
            ClusterView clusterView,
            Member self,
            Ticker ticker,
            LocalOwner localOwner) {
        mPeers = peers;
        mClusterView = clusterView;
        mSelf = self;
        mTicker = ticker;
        mLocalOwner = localOwner;
        peers.onRequest(
                RateReserve.class,
                message ->
                        localOwner
                                .reserve(message.workspace(), requestOf(message))
                                .thenApply(g -> new RateReply(g.granted(), g.waitMillis())));
    }

    /**
     * Requests a token from one owner after the other until one grants it.
     *
     * @param workspace name of the workspace
     * @param owners VMs that own parts of the workspace's rate
     * @param request terms of the request
     * @return the result; never completes exceptionally
     */
    public CompletableFuture<Outcome> reserve(
            String workspace, List<String> owners, RateRequest request) {
        return queryNextOwner(
                new RateSearch(queryOrder(owners), request.maxWaitMillis()), workspace, request);
    }

    private CompletableFuture<Outcome> queryNextOwner(
            RateSearch search, String workspace, RateRequest request) {
        RateSearch.Query query = search.next();
        if (query == null) {
            RateGrant rejected = new RateGrant(false, search.shortestWaitMillis());
            return CompletableFuture.completedFuture(new Outcome(rejected, null));
        }
        return queryOwner(
                        query.owner(), workspace, request.withMaxWaitMillis(query.maxWaitMillis()))
                .thenCompose(
                        grant -> {
                            if (grant.granted()) {
                                return CompletableFuture.completedFuture(
                                        new Outcome(grant, query.owner()));
                            }
                            search.onRejected(grant);
                            return queryNextOwner(search, workspace, request);
                        });
    }

    private static RateRequest requestOf(RateReserve message) {
        return new RateRequest(message.newcomer(), message.mostWaitMillis());
    }

    private CompletableFuture<RateGrant> queryOwner(
            String owner, String workspace, RateRequest request) {
        if (owner.equals(mSelf.vm().value())) {
            return mLocalOwner.reserve(workspace, request);
        }
        Optional<Member> member = mClusterView.fleet().member(new VmId(owner));
        if (member.isEmpty()) {
            return CompletableFuture.completedFuture(RateGrant.NONE);
        }
        return mPeers.request(
                        PeerAddress.of(member.get()),
                        new RateReserve(workspace, request.newProgram(), request.maxWaitMillis()),
                        RateReply.class,
                        OWNER_TIMEOUT_MILLIS)
                .thenApply(reply -> new RateGrant(reply.granted(), reply.waitMillis()))
                .exceptionally(error -> markUnresponsive(owner, workspace, error));
    }

    /** Skips the owner for a while. Tokens of a lost reply stay spent, so the rate holds. */
    private RateGrant markUnresponsive(String owner, String workspace, Throwable error) {
        mUnresponsiveUntilMillis.put(owner, mTicker.readMillis() + UNRESPONSIVE_OWNER_MILLIS);
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

    private List<String> queryOrder(List<String> owners) {
        return RateSearch.orderOwners(
                owners,
                mSelf.vm().value(),
                mRotation.getAndIncrement(),
                owner -> mTicker.readMillis() < mUnresponsiveUntilMillis.getOrDefault(owner, 0L));
    }
}
