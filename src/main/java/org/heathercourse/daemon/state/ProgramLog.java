package org.heathercourse.daemon.state;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;

/** The durable log of the programs whose shards this daemon owns. Thread-safe. */
public interface ProgramLog {
    /**
     * Returns the state of a program, including records that are not durable yet.
     *
     * @param program the program
     * @return the state, or empty if the program does not exist or this daemon does not own its
     *     shard
     */
    Optional<ProgramState> find(ProgramId program);

    /** Returns the programs that have not ended or whose caches at targets are not released yet. */
    List<ProgramState> activePrograms();

    /**
     * Appends records of one program. They are applied in memory atomically before this method
     * returns.
     *
     * @param program the program
     * @param records its records
     * @return completes when the records are durable, which cannot happen while the store is down;
     *     fails with a {@link org.heathercourse.core.error.HeathercourseException} of kind {@code
     *     OWNERSHIP_LOST} if the shard is lost first
     */
    CompletableFuture<Void> append(ProgramId program, List<LogRecord> records);

    /**
     * Replicates the records of a program that are not durable to the memory of other daemons.
     *
     * @param program the program
     * @return completes when all records appended so far are durable or replicated; fails with a
     *     {@link org.heathercourse.core.error.HeathercourseException} if they cannot be replicated,
     *     for instance because this daemon is partitioned from the others
     */
    CompletableFuture<Void> replicate(ProgramId program);

    /** Returns whether the store counts as down because consecutive writes to it failed. */
    boolean storeDown();

    /** Returns the size of the records that are not durable yet, in bytes. */
    long pendingBytes();
}
