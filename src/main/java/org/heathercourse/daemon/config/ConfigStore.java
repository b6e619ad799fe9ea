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
 * Accepts changes of the configuration.
 *
 * <p>A change is accepted when it is committed to the table and a majority of the daemons, this one
 * included, has applied it; only then can no daemon regard an earlier revision as fresh for more
 * than the age that evidence may have. Calls block. Safe for use by several threads.
 */
public final class ConfigStore {
    /** Times that a transaction of unknown outcome is resolved before giving up. */
    private static final int MAX_ATTEMPTS = 4;

    private static final EventLog LOG = EventLog.of(ConfigStore.class);

    private final TableStore mTable;
    private final ConfigTable mRows;
    private final ConfigWatcher mWatcher;
    private final Supplier<String> mCommitIds;

    /** What became of a transaction. */
    private enum Outcome {
        COMMITTED,
        /** An earlier try of this or another daemon committed a change of the same identity. */
        COMMITTED_BEFORE,
        CONFLICT,
        UNKNOWN
    }

    /**
     * Creates the store.
     *
     * @param table the table service
     * @param rows the rows of the configuration
     * @param watcher applies and distributes accepted changes
     * @param commitIds makes identities of transactions, unique over all daemons
     */
    public ConfigStore(
            TableStore table, ConfigTable rows, ConfigWatcher watcher, Supplier<String> commitIds) {
        mTable = table;
        mRows = rows;
        mWatcher = watcher;
        mCommitIds = commitIds;
    }

    /**
     * Makes a configuration the latest.
     *
     * @param expectedRevision revision that the change is based on
     * @param candidate the configuration; its revision is ignored
     * @return the configuration with its new revision, in force at a majority; otherwise an error:
     *     {@link ConfigRejectedException}, {@link ConfigConflictException}, kind {@code
     *     STALE_CONFIGURATION} if this daemon is not in contact with a majority, kind {@code
     *     STORE_UNAVAILABLE}, or kind {@code OUTCOME_UNKNOWN} if the change was committed or may
     *     have been but is not confirmed by a majority
     */
    public Either<HeathercourseException, DeploymentConfig> propose(
            long expectedRevision, DeploymentConfig candidate) {
        try {
            if (!mWatcher.canAcceptChange()) {
                return Either.left(noMajority());
            }
            ConfigTable.Head head = mRows.readHead();
            DeploymentConfig base =
                    mRows.readRevision(expectedRevision).orElseGet(mWatcher::current);
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
        Transaction transaction = mRows.prepare(head, next, mCommitIds.get());
        Outcome outcome = commitOrResolve(transaction, next.revision());
        if (outcome == Outcome.UNKNOWN) {
            return Either.left(
                    unknown("change to revision " + next.revision() + " may be committed"));
        }
        if (outcome == Outcome.CONFLICT) {
            return Either.left(conflict(base.revision(), mRows.readHead().revision(), base, next));
        }
        // Another attempt of the same change, at another daemon, may have committed another body.
        DeploymentConfig made =
                outcome == Outcome.COMMITTED
                        ? next
                        : mRows.readRevision(next.revision()).orElseThrow();
        LOG.info("config_committed", "revision", made.revision());
        mWatcher.apply(made);
        if (!mWatcher.distribute(made)) {
            return Either.left(unconfirmed(made.revision()));
        }
        LOG.info("config_accepted", "revision", made.revision());
        return Either.right(made);
    }

    /**
     * Runs a transaction until its outcome is known. Repeating it is safe: its conditions hold at
     * most once.
     *
     * @return what became of it
     */
    private Outcome commitOrResolve(Transaction transaction, long revision) {
        StoreException lastFailure = null;
        boolean sent = false;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                CommitResult result = mTable.commit(transaction);
                if (result.committed()) {
                    return Outcome.COMMITTED;
                }
                boolean ours =
                        mRows.commitIdOf(revision)
                                .filter(transaction.commitId()::equals)
                                .isPresent();
                return ours ? Outcome.COMMITTED_BEFORE : Outcome.CONFLICT;
            } catch (StoreException e) {
                lastFailure = e;
                sent |= e.outcomeUnknown();
                LOG.warn("config_commit_retried", "revision", revision, "cause", e.getMessage());
            }
        }
        if (!sent) {
            throw lastFailure;
        }
        return Outcome.UNKNOWN;
    }

    private ConfigConflictException conflict(
            long expected, long present, DeploymentConfig base, DeploymentConfig candidate) {
        DeploymentConfig theirs = mRows.readRevision(present).orElse(base);
        return new ConfigConflictException(
                expected,
                present,
                ConfigDiff.between(base, theirs),
                ConfigDiff.between(base, candidate));
    }

    private static HeathercourseException noMajority() {
        return new HeathercourseException(
                ErrorKind.STALE_CONFIGURATION,
                "this daemon was not in contact with a majority of the daemons within 2 s",
                "repeat the change at another daemon");
    }

    static HeathercourseException unconfirmed(long revision) {
        return unknown("revision " + revision + " is committed but not confirmed by a majority");
    }

    private static HeathercourseException unknown(String message) {
        return HeathercourseException.builder(ErrorKind.OUTCOME_UNKNOWN)
                .message(message)
                .remedy("read the present revision; it is applied when daemons can be reached")
                .notRun(false)
                .build();
    }

    /** Returns a source of random identities of transactions. */
    public static Supplier<String> randomCommitIds(RandomGenerator random) {
        return () -> "config-" + new UUID(random.nextLong(), random.nextLong());
    }
}
