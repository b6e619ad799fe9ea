package org.heathercourse.gateway.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.rows.StoreChannel;

/**
 * Reaches the store through another gateway while it refuses this VM only.
 *
 * <p>Once a peer could help, all requests go through peers, and a copy of a short read goes the
 * direct way now and then, until one is answered. If neither way works, the peers are left alone
 * for {@link #REST_MILLIS}, because the store is then likely down for all. Safe for use by several
 * threads.
 */
public final class RelayingChannel implements StoreChannel {
    /** Time in milliseconds between two tries of the direct way. */
    static final long PROBE_MILLIS = 1_500;

    /** Time in milliseconds for which peers are not asked after they could not help. */
    static final long REST_MILLIS = 700;

    /** Longest timeout in milliseconds of a read that may be copied to try the direct way. */
    static final long SHORT_READ_MILLIS = 1_000;

    private static final EventLog LOG = EventLog.of(RelayingChannel.class);
    private static final int FIRST_FAILURE_STATUS = 500;
    private static final int TOO_MANY = 429;

    private final StoreChannel mDirect;
    private final Ticker mTicker;
    private volatile PeerChannel mPeers;
    private volatile boolean mThroughPeers;
    private volatile long mNextProbeMillis;
    private volatile long mRestUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a channel that knows no peers yet.
     *
     * @param direct the direct way
     * @param ticker steady time
     */
    public RelayingChannel(StoreChannel direct, Ticker ticker) {
        mDirect = direct;
        mTicker = ticker;
    }

    /** Sets the way through peers. */
    public void setPeers(PeerChannel peers) {
        mPeers = peers;
    }

    /** Returns whether requests go through peers now. */
    public boolean usesPeers() {
        return mThroughPeers;
    }

    @Override
    public CompletableFuture<Reply> send(Request request, long timeoutMillis) {
        if (!mThroughPeers) {
            return orElse(direct(request, timeoutMillis), request, timeoutMillis, true);
        }
        probe(request, timeoutMillis);
        return orElse(viaPeer(request, timeoutMillis), request, timeoutMillis, false);
    }

    /** Tries the other way if the first one failed and certainly did nothing. */
    private CompletableFuture<Reply> orElse(
            CompletableFuture<Reply> first, Request request, long timeoutMillis, boolean viaPeer) {
        return first.exceptionallyCompose(
                error -> {
                    if (!certainlyNotDone(request, error)) {
                        return CompletableFuture.failedFuture(error);
                    }
                    if (!viaPeer) {
                        return direct(request, timeoutMillis);
                    }
                    return peersMayHelp()
                            ? viaPeer(request, timeoutMillis)
                                    .whenComplete((reply, failure) -> notePeer(failure))
                            : CompletableFuture.failedFuture(error);
                });
    }

    private boolean peersMayHelp() {
        return mPeers != null && mTicker.readMillis() >= mRestUntilMillis;
    }

    private CompletableFuture<Reply> direct(Request request, long timeoutMillis) {
        return mDirect.send(request, timeoutMillis)
                .thenApply(RelayingChannel::usable)
                .whenComplete(
                        (reply, error) -> {
                            if (error == null && mThroughPeers) {
                                mThroughPeers = false;
                                LOG.info("store_reached_directly");
                            }
                        });
    }

    private void probe(Request request, long timeoutMillis) {
        long now = mTicker.readMillis();
        boolean fit = request.method().equals("GET") && timeoutMillis <= SHORT_READ_MILLIS;
        if (fit && now >= mNextProbeMillis) {
            mNextProbeMillis = now + PROBE_MILLIS;
            direct(request, timeoutMillis);
        }
    }

    private CompletableFuture<Reply> viaPeer(Request request, long timeoutMillis) {
        return mPeers.send(request, timeoutMillis)
                .thenApply(RelayingChannel::usable)
                .whenComplete(
                        (reply, error) -> {
                            if (error != null) {
                                mRestUntilMillis = mTicker.readMillis() + REST_MILLIS;
                                mThroughPeers = false;
                            }
                        });
    }

    /** Goes through peers from now on if one could help after the direct way had failed. */
    private void notePeer(Throwable error) {
        if (error == null && !mThroughPeers) {
            mNextProbeMillis = mTicker.readMillis() + PROBE_MILLIS;
            mThroughPeers = true;
            LOG.warn("store_reached_through_peer");
        }
    }

    /** Turns a reply by which the store refuses to serve into a failure. */
    private static Reply usable(Reply reply) {
        if (reply.status() >= FIRST_FAILURE_STATUS || reply.status() == TOO_MANY) {
            throw StoreException.unavailable("the store answered " + reply.status(), null);
        }
        return reply;
    }

    /** Returns whether a request may be sent again without the risk of being done twice. */
    private static boolean certainlyNotDone(Request request, Throwable error) {
        Throwable cause = error instanceof CompletionException e ? e.getCause() : error;
        return request.method().equals("GET")
                || cause instanceof StoreException e && !e.outcomeUnknown();
    }
}
