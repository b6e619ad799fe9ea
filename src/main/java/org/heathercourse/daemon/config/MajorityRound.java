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
 * Waits until a majority of the daemons has replied with at least some revision. Safe for use by
 * several threads.
 */
final class MajorityRound {
    private final int mNeeded;
    private final Set<DaemonInfo> mConfirmed = new HashSet<>();
    private final CompletableFuture<Void> mReached = new CompletableFuture<>();

    MajorityRound(int needed) {
        mNeeded = needed;
        if (needed <= 0) {
            mReached.complete(null);
        }
    }

    void track(DaemonInfo peer, CompletableFuture<StatusReply> reply, long revision) {
        reply.thenAccept(
                status -> {
                    if (status.revision() >= revision) {
                        confirm(peer);
                    }
                });
    }

    private synchronized void confirm(DaemonInfo peer) {
        mConfirmed.add(peer);
        if (mConfirmed.size() >= mNeeded) {
            mReached.complete(null);
        }
    }

    synchronized Set<DaemonInfo> missing(Set<DaemonInfo> peers) {
        Set<DaemonInfo> missing = new HashSet<>(peers);
        missing.removeAll(mConfirmed);
        return missing;
    }

    boolean reached() {
        return mReached.isDone();
    }

    void await(long timeoutMillis) {
        try {
            mReached.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            // The next round pushes to the peers that have not confirmed.
            return;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a future without failures failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
