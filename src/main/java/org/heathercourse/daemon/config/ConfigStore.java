package org.heathercourse.daemon.config;

import io.vavr.control.Either;
import java.util.List;
import java.util.UUID;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heathercourse.core.config.ConfigDiff;
import org.heathercourse.core.config.ConfigProblem;
import org.heathercourse.core.config.ConfigValidator;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/**
 * Validates configuration changes, commits them and distributes them to the daemons.
 *
 * <p>A change is accepted when it is committed to the table and a majority of the daemons,
 * including this one, has applied it. From then on no daemon can treat an earlier revision as fresh
 * for longer than the maximum age of freshness evidence. Calls block. Safe for use by several
 * threads.
 */
public final class ConfigStore {
    /** Maximum number of attempts to commit a transaction and learn its outcome. */
    private static final int MAX_ATTEMPTS = 4;

    private static final EventLog LOG = EventLog.of(ConfigStore.class);

    private final TableStore mTable;
    private final ConfigTable mConfigTable;
    private final ConfigWatcher mWatcher;
    private final Supplier<String> mCommitIds;

    /** Outcome of a transaction. */
    private enum Outcome {
        COMMITTED,
        /**
         * An earlier attempt, at this or another daemon, committed a change of the same identity.
         */
        ALREADY_COMMITTED,
        CONFLICT,
        UNKNOWN
    }

    /**
     * Creates the store.
     *
     * @param table the table service
     * @param rows access to the rows of the configuration
     * @param watcher applies and distributes accepted changes
     * @param commitIds source of commit identities that are unique across all daemons
     */
    public ConfigStore(
            TableStore table, ConfigTable rows, ConfigWatcher watcher, Supplier<String> commitIds) {
        mTable = table;
        mConfigTable = rows;
        mWatcher = watcher;
        mCommitIds = commitIds;
    }

    /**
     * Proposes a configuration as the next revision.
     *
     * @param expectedRevision revision that the change is based on
     * @param candidate the proposed configuration; its revision is ignored
     * @return the configuration with its new revision, in force at a majority; otherwise an error:
     *     {@link ConfigRejectedException}, {@link ConfigConflictException}, kind {@code
     *     STALE_CONFIGURATION} if a majority of the daemons does not reply to this one, kind {@code
     *     STORE_UNAVAILABLE}, or kind {@code OUTCOME_UNKNOWN} if the change is committed, or may
     *     be, but is not confirmed by a majority
     */
    public Either<HeathercourseException, DeploymentConfig> propose(
            long expectedRevision, DeploymentConfig candidate) {
        try {
            if (!mWatcher.canAcceptChange()) {
                return Either.left(noMajorityContact());
            }
            ConfigTable.Head head = mConfigTable.readHead();
            DeploymentConfig base =
                    mConfigTable.readRevision(expectedRevision).orElseGet(mWatcher::current);
            if (head.revision() != expectedRevision) {
                return Either.left(conflict(expectedRevision, head.revision(), base, candidate));
            }
            List<ConfigProblem> problems = ConfigValidator.validate(base, candidate);
            if (!problems.isEmpty()) {
                return Either.left(new ConfigRejectedException(problems));
            }
            return commit(head, base, candidate.withRevision(expectedRevision + 1));
        } catch (HeathercourseException e) {
            return Either.left(e);
        }
    }

    private Either<HeathercourseException, DeploymentConfig> commit(
            ConfigTable.Head head, DeploymentConfig base, DeploymentConfig next) {
        Transaction transaction = mConfigTable.prepareCommit(head, next, mCommitIds.get());
        Outcome outcome = commitOrResolve(transaction, next.revision());
        if (outcome == Outcome.UNKNOWN) {
            return Either.left(
                    outcomeUnknown("change to revision " + next.revision() + " may be committed"));
        }
        if (outcome == Outcome.CONFLICT) {
            return Either.left(
                    conflict(base.revision(), mConfigTable.readHead().revision(), base, next));
        }
        // An attempt of the same change at another daemon may have committed a different body.
        DeploymentConfig committed =
                outcome == Outcome.COMMITTED
                        ? next
                        : mConfigTable.readRevision(next.revision()).orElseThrow();
        LOG.info("config_committed", "revision", committed.revision());
        mWatcher.apply(committed);
        if (!mWatcher.distribute(committed)) {
            return Either.left(unconfirmedRevision(committed.revision()));
        }
        LOG.info("config_accepted", "revision", committed.revision());
        return Either.right(committed);
    }

    /**
     * Commits a transaction, retrying until its outcome is known or the attempts are used up.
     * Retries are safe because the expected row versions can match at most once.
     *
     * @throws StoreException if no attempt can have been committed
     */
    private Outcome commitOrResolve(Transaction transaction, long revision) {
        StoreException lastFailure = null;
        boolean mayBeCommitted = false;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                CommitResult result = mTable.commit(transaction);
                if (result.committed()) {
                    return Outcome.COMMITTED;
                }
                boolean committedByThisChange =
                        mConfigTable
                                .commitIdOf(revision)
                                .filter(transaction.commitId()::equals)
                                .isPresent();
                return committedByThisChange ? Outcome.ALREADY_COMMITTED : Outcome.CONFLICT;
            } catch (StoreException e) {
                lastFailure = e;
                mayBeCommitted |= e.outcomeUnknown();
                LOG.warn("config_commit_retried", "revision", revision, "cause", e.getMessage());
            }
        }
        if (!mayBeCommitted) {
            throw lastFailure;
        }
        return Outcome.UNKNOWN;
    }

    private ConfigConflictException conflict(
            long expectedRevision,
            long currentRevision,
            DeploymentConfig base,
            DeploymentConfig candidate) {
        DeploymentConfig current = mConfigTable.readRevision(currentRevision).orElse(base);
        return new ConfigConflictException(
                expectedRevision,
                currentRevision,
                ConfigDiff.between(base, current),
                ConfigDiff.between(base, candidate));
    }

    private static HeathercourseException noMajorityContact() {
        return new HeathercourseException(
                ErrorKind.STALE_CONFIGURATION,
                "fewer than a majority of the daemons replied to this one within 2 s",
                "retry the change at another daemon");
    }

    static HeathercourseException unconfirmedRevision(long revision) {
        return outcomeUnknown(
                "revision " + revision + " is committed but not confirmed by a majority");
    }

    private static HeathercourseException outcomeUnknown(String message) {
        return HeathercourseException.builder(ErrorKind.OUTCOME_UNKNOWN)
                .message(message)
                .remedy("read the current revision; it is applied once daemons can be reached")
                .notRun(false)
                .build();
    }

    /** Returns a source of random commit identities. */
    public static Supplier<String> randomCommitIds(RandomGenerator random) {
        return () -> "config-" + new UUID(random.nextLong(), random.nextLong());
    }
}
