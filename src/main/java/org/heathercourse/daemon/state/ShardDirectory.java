package org.heathercourse.daemon.state;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.ownership.DaemonInfo;

/**
 * Tells who owns which shard.
 *
 * <p>Answers come from memory and do not block. Safe for use by several threads.
 */
public interface ShardDirectory {
    /** Returns the daemon that this process is. */
    DaemonInfo self();

    /**
     * Returns the fencing number under which this daemon owns a shard.
     *
     * @param shard the shard
     * @return the number, or empty if this daemon does not own the shard or its lease has lapsed
     */
    OptionalLong fence(ShardId shard);

    /**
     * Returns the fencing number under which this daemon may do work that may run twice.
     *
     * <p>The same as {@link #fence} while the store can be written. While a majority of the daemons
     * cannot reach the store nobody can take the shard, so its last owner goes on.
     *
     * @param shard the shard
     * @return the number, or empty if another daemon may own the shard
     */
    default OptionalLong fenceForIdempotentWork(ShardId shard) {
        return fence(shard);
    }

    /**
     * Returns the best known owner of a shard.
     *
     * @param shard the shard
     * @return the owner, which may be this daemon, or empty if the shard has none at present
     */
    Optional<DaemonInfo> owner(ShardId shard);

    /** Returns all daemons that are believed alive, this one included. */
    List<DaemonInfo> daemons();

    /**
     * Registers that a call of a shard runs here. A shard is released only when none runs.
     *
     * @param shard the shard
     * @return closes when the call has ended; empty if the shard is not owned or is being released
     */
    Optional<Use> acquireUse(ShardId shard);

    /** A running use of a shard. */
    interface Use extends AutoCloseable {
        @Override
        void close();
    }
}
