package org.heathercourse.daemon.state;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;

/**
 * The durable log of the programs whose shards this daemon owns.
 *
 * <p>Safe for use by several threads.
 */
public interface ProgramLog {
    /**
     * Returns the state of a program, records not yet durable included.
     *
     * @param program the program
     * @return the state, or empty if the program is not known or its shard is not owned here
     */
    Optional<ProgramState> find(ProgramId program);

    /** Returns the programs held here that have not ended or still owe a release. */
    List<ProgramState> activePrograms();

    /**
     * Adds records of one program. They take effect in memory at once and together.
     *
     * @param program the program
     * @param records its records
     * @return completes when the records are durable; fails with a {@link
     *     org.heathercourse.core.error.HeathercourseException} of kind {@code OWNERSHIP_LOST} if
     *     the shard was lost first. While the store is down the future stays open
     */
    CompletableFuture<Void> append(ProgramId program, List<LogRecord> records);

    /**
     * Copies the records of a program that are not durable to the memory of other daemons.
     *
     * @param program the program
     * @return completes when all records appended so far are durable or copied; fails with a {@link
     *     org.heathercourse.core.error.HeathercourseException} if they cannot be copied, for
     *     instance because this daemon is cut off alone
     */
    CompletableFuture<Void> replicate(ProgramId program);

    /** Returns whether the last attempts to write to the store have failed. */
    boolean storeDown();

    /** Returns the size in bytes of the records that are not durable yet. */
    long pendingBytes();
}
