package org.heathercourse.daemon.state;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;

/**
 * The executors of a state engine. Engines of one process may share them.
 *
 * @param control runs scans, takeovers and releases
 * @param heartbeat runs heartbeats
 * @param flush runs commits
 * @param background runs snapshots and deletions of objects
 * @param storeCalls runs blocking store calls and the completion of futures; needs at least as many
 *     threads as there are concurrent calls
 */
public record StateExecutors(
        ScheduledExecutorService control,
        ScheduledExecutorService heartbeat,
        ScheduledExecutorService flush,
        ExecutorService background,
        ExecutorService storeCalls) {
    /** Returns executors with one daemon thread for each loop and a cached pool for store calls. */
    public static StateExecutors create() {
        return new StateExecutors(
                Executors.newSingleThreadScheduledExecutor(named("state-control")),
                Executors.newSingleThreadScheduledExecutor(named("state-heartbeat")),
                Executors.newSingleThreadScheduledExecutor(named("state-flush")),
                Executors.newSingleThreadExecutor(named("state-background")),
                Executors.newCachedThreadPool(named("state-store")));
    }

    /** Stops all executors without waiting. */
    public void shutdown() {
        control.shutdownNow();
        heartbeat.shutdownNow();
        flush.shutdownNow();
        background.shutdownNow();
        storeCalls.shutdownNow();
    }

    private static ThreadFactory named(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
