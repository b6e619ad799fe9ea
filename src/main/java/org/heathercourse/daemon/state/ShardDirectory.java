package org.heathercourse.daemon.state;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.ownership.DaemonInfo;

/**
 * Directory of the owners of shards.
 *
 * <p>All methods answer from memory and do not block. Thread-safe.
 */
public interface ShardDirectory {
    /** Returns the description of this daemon. */
    DaemonInfo self();

    /**
     * Returns the fencing number under which this daemon owns a shard.
     *
     * @param shard the shard
     * @return the number, or empty if this daemon does not own the shard or its lease has lapsed
     */
    OptionalLong fence(ShardId shard);

    /**
     * Returns the fencing number under which this daemon may do idempotent work.
     *
     * <p>The same as {@link #fence} while the store is available. While a majority of the daemons
     * cannot reach the store, takeovers are impossible, so the last owner continues to serve.
     *
     * @param shard the shard
     * @return the number, or empty if another daemon may own the shard
     */
    default OptionalLong fenceForIdempotentWork(ShardId shard) {
        return fence(shard);
    }

    /**
     * Returns the owner of a shard according to the last scan.
     *
     * @param shard the shard
     * @return the owner, which may be this daemon, or empty if the shard currently has none
     */
    Optional<DaemonInfo> owner(ShardId shard);

    /** Returns all daemons that were alive at the last scan, this one first. */
    List<DaemonInfo> daemons();

    /**
     * Registers a running call of a shard. The shard is not released while a use is open.
     *
     * @param shard the shard
     * @return the use, to be closed when the call has ended; empty if this daemon does not own the
     *     shard or is releasing it
     */
    Optional<Use> acquireUse(ShardId shard);

    /** A running call that keeps its shard from being released. Closing it again has no effect. */
    interface Use extends AutoCloseable {
        @Override
        void close();
    }
}
