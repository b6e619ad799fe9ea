package org.heathercourse.gateway.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.StoreChannel;

/**
 * Relays requests to the store through another gateway while the store refuses this VM only.
 *
 * <p>After a direct request has failed and a peer has relayed it, all requests go through peers.
 * Every {@link #PROBE_PERIOD_MILLIS} a copy of a read with a short timeout probes the direct
 * channel; the first success ends the relaying. A read whose connection was lost or went silent is
 * also sent directly once more, over a new connection. If the peers fail too, they are not used for
 * {@link #PEER_BACKOFF_MILLIS}, because the store is then probably down for all gateways. Safe for
 * use by several threads.
 */
public final class RelayingChannel implements StoreChannel {
    /** Minimum time in milliseconds between two probes of the direct channel. */
    static final long PROBE_PERIOD_MILLIS = 1_500;

    /** Time in milliseconds for which peers are not used after a relayed request failed. */
    static final long PEER_BACKOFF_MILLIS = 700;

    /** Maximum timeout in milliseconds of a read whose copy may probe the direct channel. */
    static final long MAX_PROBE_TIMEOUT_MILLIS = 1_000;

    private static final EventLog LOG = EventLog.of(RelayingChannel.class);
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int TOO_MANY_REQUESTS_STATUS = 429;

    private final StoreChannel mDirect;
    private final Ticker mTicker;
    private volatile PeerChannel mPeerChannel;
    private volatile boolean mUsingPeers;
    private volatile long mNextProbeMillis;
    private volatile long mPeerBackoffUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a channel without peers.
     *
     * @param direct channel to the store without a relay
     * @param ticker monotonic clock
     */
    public RelayingChannel(StoreChannel direct, Ticker ticker) {
        mDirect = direct;
        mTicker = ticker;
    }

    /** Sets the channel through other gateways. */
    public void setPeerChannel(PeerChannel peerChannel) {
        mPeerChannel = peerChannel;
    }

    /** Returns whether requests currently go through peers. */
    public boolean usesPeers() {
        return mUsingPeers;
    }

    @Override
    public CompletableFuture<Reply> send(Request request, long timeoutMillis) {
        if (!mUsingPeers) {
            return withFallback(sendDirectly(request, timeoutMillis), request, timeoutMillis, true);
        }
        probe(request, timeoutMillis);
        return withFallback(sendViaPeer(request, timeoutMillis), request, timeoutMillis, false);
    }

    /** Falls back to the other channel if the first one failed and a second send is safe. */
    private CompletableFuture<Reply> withFallback(
            CompletableFuture<Reply> first,
            Request request,
            long timeoutMillis,
            boolean fallBackToPeer) {
        return first.exceptionallyCompose(
                error -> {
                    if (!isSafeToResend(request, error)) {
                        return CompletableFuture.failedFuture(error);
                    }
                    if (!fallBackToPeer) {
                        return sendDirectly(request, timeoutMillis);
                    }
                    if (isOutcomeUnknown(error)) {
                        return sendOverNewConnections(request, timeoutMillis);
                    }
                    return canUsePeers()
                            ? sendViaPeer(request, timeoutMillis)
                                    .whenComplete((reply, failure) -> onPeerFallback(failure))
                            : CompletableFuture.failedFuture(error);
                });
    }

    /**
     * Sends a read once more after its connection was lost or went silent: directly, and at the
     * same time through a peer, whose own connection may be silent too. The first reply counts.
     */
    private CompletableFuture<Reply> sendOverNewConnections(Request request, long timeoutMillis) {
        CompletableFuture<Reply> direct = sendDirectly(request, timeoutMillis);
        if (!canUsePeers()) {
            return direct;
        }
        CompletableFuture<Reply> viaPeer =
                sendViaPeer(request, timeoutMillis)
                        .whenComplete(
                                (reply, failure) -> {
                                    if (!hasSucceeded(direct)) {
                                        onPeerFallback(failure);
                                    }
                                });
        return firstSuccess(direct, viaPeer);
    }

    private static boolean hasSucceeded(CompletableFuture<?> future) {
        return future.isDone() && !future.isCompletedExceptionally();
    }

    /** Completes with the first success, or with the failure of the first if both fail. */
    private static CompletableFuture<Reply> firstSuccess(
            CompletableFuture<Reply> first, CompletableFuture<Reply> second) {
        CompletableFuture<Reply> result = new CompletableFuture<>();
        first.thenAccept(result::complete);
        second.thenAccept(result::complete);
        first.exceptionally(
                error -> {
                    second.exceptionally(
                            ignored -> {
                                result.completeExceptionally(error);
                                return null;
                            });
                    return null;
                });
        return result;
    }

    private boolean canUsePeers() {
        return mPeerChannel != null && mTicker.readMillis() >= mPeerBackoffUntilMillis;
    }

    private CompletableFuture<Reply> sendDirectly(Request request, long timeoutMillis) {
        return mDirect.send(request, timeoutMillis)
                .thenApply(RelayingChannel::requireServed)
                .whenComplete(
                        (reply, error) -> {
                            if (error == null && mUsingPeers) {
                                mUsingPeers = false;
                                LOG.info("store_reached_directly");
                            }
                        });
    }

    private void probe(Request request, long timeoutMillis) {
        long now = mTicker.readMillis();
        boolean isProbeCandidate =
                request.method().equals("GET") && timeoutMillis <= MAX_PROBE_TIMEOUT_MILLIS;
        if (isProbeCandidate && now >= mNextProbeMillis) {
            mNextProbeMillis = now + PROBE_PERIOD_MILLIS;
            sendDirectly(request, timeoutMillis);
        }
    }

    private CompletableFuture<Reply> sendViaPeer(Request request, long timeoutMillis) {
        return mPeerChannel
                .send(request, timeoutMillis)
                .thenApply(RelayingChannel::requireServed)
                .whenComplete(
                        (reply, error) -> {
                            if (error != null) {
                                mPeerBackoffUntilMillis =
                                        mTicker.readMillis() + PEER_BACKOFF_MILLIS;
                                mUsingPeers = false;
                            }
                        });
    }

    /** Switches to peers if one relayed a request whose direct send had failed. */
    private void onPeerFallback(Throwable error) {
        if (error == null && !mUsingPeers) {
            mNextProbeMillis = mTicker.readMillis() + PROBE_PERIOD_MILLIS;
            mUsingPeers = true;
            LOG.warn("store_reached_through_peer");
        }
    }

    /** Turns a server error or a rejection for overload into a failure. */
    private static Reply requireServed(Reply reply) {
        if (reply.status() >= MIN_SERVER_ERROR_STATUS
                || reply.status() == TOO_MANY_REQUESTS_STATUS) {
            throw StoreException.unavailable(
                    "the store replied with status " + reply.status(), null);
        }
        return reply;
    }

    /** Returns whether the failed request can be sent again without taking effect twice. */
    private static boolean isSafeToResend(Request request, Throwable error) {
        return request.method().equals("GET") || !isOutcomeUnknown(error);
    }

    private static boolean isOutcomeUnknown(Throwable error) {
        Throwable cause = error instanceof CompletionException e ? e.getCause() : error;
        return !(cause instanceof StoreException e) || e.outcomeUnknown();
    }
}
