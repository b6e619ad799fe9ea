package org.heathercourse.gateway.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Counts the turns that have requested a reservation and are not settled yet. Thread-safe. */
final class OpenTurns {
    private final List<CompletableFuture<Void>> mWaiting = new ArrayList<>();
    private int mCount;

    /** Counts a turn that requests a reservation. */
    synchronized void begin() {
        mCount++;
    }

    /** Counts a turn that was refused, or whose settlement has reached the owner or failed. */
    void end() {
        List<CompletableFuture<Void>> completed;
        synchronized (this) {
            mCount = Math.max(0, mCount - 1);
            if (mCount > 0) {
                return;
            }
            completed = List.copyOf(mWaiting);
            mWaiting.clear();
        }
        completed.forEach(future -> future.complete(null));
    }

    /** Returns a future that completes once no turn is open. */
    synchronized CompletableFuture<Void> whenNone() {
        CompletableFuture<Void> none = new CompletableFuture<>();
        if (mCount == 0) {
            none.complete(null);
        } else {
            mWaiting.add(none);
        }
        return none;
    }
}
