package org.heathercourse.daemon.config;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.platform.TableStore;

/**
 * Accepts changes of operators, each under an identity, and reads accepted revisions.
 *
 * <p>The identity of a change is the commit identity of its transaction and has a row of its own,
 * so that a repeat of a change whose reply was lost returns the revision that the first attempt
 * made. Calls block on the store. Safe for use by several threads.
 */
public final class ConfigChanges {
    private final TableStore mTable;
    private final ConfigTable mRows;
    private final ConfigWatcher mWatcher;

    /**
     * Creates the service.
     *
     * @param table the table service
     * @param rows the rows of the configuration
     * @param watcher applies and distributes accepted changes
     */
    public ConfigChanges(TableStore table, ConfigTable rows, ConfigWatcher watcher) {
        mTable = table;
        mRows = rows;
        mWatcher = watcher;
    }

    /**
     * Accepts a configuration if the present revision is the expected one.
     *
     * @param proposed the configuration; its revision is ignored
     * @param baseRevision revision that it was made against
     * @param changeId identity of the change
     * @return as for {@link ConfigStore#propose}; a repeat returns the result of the first attempt
     */
    public Either<HeathercourseException, DeploymentConfig> accept(
            DeploymentConfig proposed, long baseRevision, String changeId) {
        return resultOfCommittedChange(changeId)
                .getOrElse(
                        () ->
                                new ConfigStore(mTable, mRows, mWatcher, () -> changeId)
                                        .propose(baseRevision, proposed));
    }

    /**
     * Returns the result of a change that was committed before under the same identity. The first
     * attempt may have ended before a majority had applied it, so a majority is asked to confirm
     * it, or a later revision, now.
     *
     * @param changeId identity of the change
     * @return none if no such change was committed; otherwise the configuration that it made, or an
     *     error of kind {@code STORE_UNAVAILABLE}, or of kind {@code OUTCOME_UNKNOWN} if a majority
     *     does not confirm
     */
    public Option<Either<HeathercourseException, DeploymentConfig>> resultOfCommittedChange(
            String changeId) {
        try {
            OptionalLong revision = mRows.revisionOfChange(changeId);
            if (revision.isEmpty()) {
                return Option.none();
            }
            Optional<DeploymentConfig> made = mRows.readRevision(revision.getAsLong());
            made.ifPresent(mWatcher::apply);
            if (made.isEmpty() || !mWatcher.distribute(mWatcher.current())) {
                return Option.some(Either.left(ConfigStore.unconfirmed(revision.getAsLong())));
            }
            return Option.some(Either.right(made.get()));
        } catch (HeathercourseException e) {
            return Option.some(Either.left(e));
        }
    }

    /** Returns the accepted configuration as the store has it. */
    public DeploymentConfig readLatest() {
        return mRows.readRevision(mRows.readHead().revision()).orElse(DeploymentConfig.empty());
    }

    /**
     * Reads the configuration of a revision.
     *
     * @param revision the revision
     * @return the configuration, or empty if there is no such revision
     */
    public Optional<DeploymentConfig> readRevision(long revision) {
        return mRows.readRevision(revision);
    }

    /**
     * Lists accepted revisions.
     *
     * @param limit most revisions to list
     * @return the revisions, the newest first
     */
    public List<Long> listRevisions(int limit) {
        List<Long> revisions = new ArrayList<>();
        long head = mRows.readHead().revision();
        for (long r = head; r > 0 && revisions.size() < limit; r--) {
            revisions.add(r);
        }
        return revisions;
    }
}
