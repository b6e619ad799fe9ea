package org.heathercourse.daemon.config;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.peer.PeerMessage.StatusReply;

/**
 * Waits until enough peers for a majority have confirmed a revision or a later one. Safe for use by
 * several threads.
 */
final class MajorityRound {
    private final int mRequired;
    private final Set<DaemonInfo> mConfirmed = new HashSet<>();
    private final CompletableFuture<Void> mReached = new CompletableFuture<>();

    /**
     * Creates a round.
     *
     * @param required number of peers that must confirm; 0 or less if none has to
     */
    MajorityRound(int required) {
        mRequired = required;
        if (required <= 0) {
            mReached.complete(null);
        }
    }

    /**
     * Counts a peer as confirmed when its reply arrives with the revision or a later one.
     *
     * @param peer the peer
     * @param reply its reply; a failed one is ignored
     * @param revision revision to be confirmed
     */
    void confirmOnReply(DaemonInfo peer, CompletableFuture<StatusReply> reply, long revision) {
        reply.thenAccept(
                status -> {
                    if (status.revision() >= revision) {
                        confirm(peer);
                    }
                });
    }

    private synchronized void confirm(DaemonInfo peer) {
        mConfirmed.add(peer);
        if (mConfirmed.size() >= mRequired) {
            mReached.complete(null);
        }
    }

    /** Returns those of the given peers that have not confirmed. */
    synchronized Set<DaemonInfo> unconfirmed(Set<DaemonInfo> peers) {
        Set<DaemonInfo> unconfirmed = new HashSet<>(peers);
        unconfirmed.removeAll(mConfirmed);
        return unconfirmed;
    }

    /** Returns whether enough peers have confirmed. */
    boolean isReached() {
        return mReached.isDone();
    }

    /** Blocks until enough peers have confirmed or the timeout in milliseconds has passed. */
    void await(long timeoutMillis) {
        try {
            mReached.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            // Not an error: the caller checks isReached() and may retry the unconfirmed peers.
            return;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a future without failures failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
