package org.heathercourse.daemon.config;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.platform.TableStore;

/**
 * Accepts changes of operators, each under an identity, and reads accepted revisions.
 *
 * <p>The identity of a change is the commit identity of its transaction, so that a repeat of a
 * change whose reply was lost returns the revision that the first attempt made. Calls block on the
 * store. Safe for use by several threads.
 */
public final class ConfigChanges {
    /** Latest revisions among which a repeated change is looked for. */
    private static final int REPEAT_WINDOW = 8;

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
        try {
            Optional<DeploymentConfig> earlier = acceptedAs(changeId);
            if (earlier.isPresent()) {
                return Either.right(earlier.get());
            }
        } catch (HeathercourseException e) {
            return Either.left(e);
        }
        return new ConfigStore(mTable, mRows, mWatcher, () -> changeId)
                .propose(baseRevision, proposed);
    }

    private Optional<DeploymentConfig> acceptedAs(String changeId) {
        for (long revision : revisions(REPEAT_WINDOW)) {
            if (mRows.commitIdOf(revision).filter(changeId::equals).isPresent()) {
                return mRows.readRevision(revision);
            }
        }
        return Optional.empty();
    }

    /** Returns the accepted configuration as the store has it. */
    public DeploymentConfig present() {
        return mRows.readRevision(mRows.readHead().revision()).orElse(DeploymentConfig.empty());
    }

    /**
     * Reads the configuration of a revision.
     *
     * @param revision the revision
     * @return the configuration, or empty if there is no such revision
     */
    public Optional<DeploymentConfig> read(long revision) {
        return mRows.readRevision(revision);
    }

    /**
     * Lists accepted revisions.
     *
     * @param limit most revisions to list
     * @return the revisions, the newest first
     */
    public List<Long> revisions(int limit) {
        List<Long> revisions = new ArrayList<>();
        long head = mRows.readHead().revision();
        for (long r = head; r > 0 && revisions.size() < limit; r--) {
            revisions.add(r);
        }
        return revisions;
    }
}
