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
 * Accepts idempotent configuration changes from operators and reads accepted revisions.
 *
 * <p>The identity of a change is the commit identity of its transaction and is stored in a row of
 * its own. A retry of a change whose reply was lost therefore returns the revision that the first
 * attempt created. Calls block on the store. Safe for use by several threads.
 */
public final class ConfigChanges {
    private final TableStore mTable;
    private final ConfigTable mConfigTable;
    private final ConfigWatcher mWatcher;

    /**
     * Creates the service.
     *
     * @param table the table service
     * @param rows access to the rows of the configuration
     * @param watcher applies and distributes accepted changes
     */
    public ConfigChanges(TableStore table, ConfigTable rows, ConfigWatcher watcher) {
        mTable = table;
        mConfigTable = rows;
        mWatcher = watcher;
    }

    /**
     * Accepts a configuration if the latest revision is the one that the change is based on.
     *
     * @param proposed the proposed configuration; its revision is ignored
     * @param baseRevision revision that the change is based on
     * @param changeId identity of the change, the same for all its retries
     * @return as for {@link ConfigStore#propose}; a retry returns the result of the first attempt
     */
    public Either<HeathercourseException, DeploymentConfig> accept(
            DeploymentConfig proposed, long baseRevision, String changeId) {
        return resultOfCommittedChange(changeId)
                .getOrElse(
                        () ->
                                new ConfigStore(mTable, mConfigTable, mWatcher, () -> changeId)
                                        .propose(baseRevision, proposed));
    }

    /**
     * Returns the result of a change that is already committed under the same identity. The first
     * attempt may have ended before a majority applied the change, so this call distributes the
     * current configuration and waits for a majority to confirm it.
     *
     * @param changeId identity of the change
     * @return none if no such change was committed; otherwise the configuration that it created, or
     *     an error of kind {@code STORE_UNAVAILABLE}, or of kind {@code OUTCOME_UNKNOWN} if a
     *     majority does not confirm
     */
    public Option<Either<HeathercourseException, DeploymentConfig>> resultOfCommittedChange(
            String changeId) {
        try {
            OptionalLong revision = mConfigTable.revisionOfChange(changeId);
            if (revision.isEmpty()) {
                return Option.none();
            }
            Optional<DeploymentConfig> committed = mConfigTable.readRevision(revision.getAsLong());
            committed.ifPresent(mWatcher::apply);
            if (committed.isEmpty() || !mWatcher.distribute(mWatcher.current())) {
                return Option.some(
                        Either.left(ConfigStore.unconfirmedRevision(revision.getAsLong())));
            }
            return Option.some(Either.right(committed.get()));
        } catch (HeathercourseException e) {
            return Option.some(Either.left(e));
        }
    }

    /** Returns the latest committed configuration, read from the store. */
    public DeploymentConfig readLatest() {
        return mConfigTable
                .readRevision(mConfigTable.readHead().revision())
                .orElse(DeploymentConfig.empty());
    }

    /**
     * Reads the configuration of a revision.
     *
     * @param revision the revision
     * @return the configuration, or empty if there is no such revision
     */
    public Optional<DeploymentConfig> readRevision(long revision) {
        return mConfigTable.readRevision(revision);
    }

    /**
     * Lists accepted revisions.
     *
     * @param limit maximum number of revisions
     * @return the revisions, newest first
     */
    public List<Long> listRevisions(int limit) {
        List<Long> revisions = new ArrayList<>();
        long headRevision = mConfigTable.readHead().revision();
        for (long revision = headRevision; revision > 0 && revisions.size() < limit; revision--) {
            revisions.add(revision);
        }
        return revisions;
    }
}
