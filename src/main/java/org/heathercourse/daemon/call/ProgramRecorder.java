package org.heathercourse.daemon.call;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;

/**
 * Reads and appends to the program log. Code that reads the state of a program and then appends a
 * record based on it holds {@link #lockFor} throughout. Safe for use by several threads.
 */
final class ProgramRecorder {
    static final String DURABLE = "durable";
    static final String PENDING = "pending";

    private static final int LOCK_COUNT = 256;
    private static final long POLL_MILLIS = 50;
    // Maximum delay of an answer by a slow store that is not reported as down.
    private static final long MAX_DELIVERY_WAIT_MILLIS = 5000;

    /** Delay before the replication of records is retried. */
    private static final long REPLICATION_RETRY_MILLIS = 500;

    private final CallDependencies mDependencies;
    private final Object[] mLocks = new Object[LOCK_COUNT];
    private final Map<Job.Key, CompletableFuture<Void>> mPendingOutcomes =
            new ConcurrentHashMap<>();

    ProgramRecorder(CallDependencies dependencies) {
        mDependencies = dependencies;
        for (int i = 0; i < LOCK_COUNT; i++) {
            mLocks[i] = new Object();
        }
    }

    /** Returns the lock of a program; several programs may share one. */
    Object lockFor(ProgramId program) {
        return mLocks[Math.floorMod(program.hashCode(), LOCK_COUNT)];
    }

    /** Returns the state of a program; empty if it is unknown to this daemon. */
    Optional<ProgramState> find(ProgramId program) {
        return mDependencies.log().find(program);
    }

    /**
     * Appends records; the result completes when they are durable, and fails if the shard is lost.
     */
    CompletableFuture<Void> append(ProgramId program, List<LogRecord> records) {
        return mDependencies.log().append(program, records);
    }

    /** Appends the outcome of a call and tracks it until it is durable. */
    CompletableFuture<Void> appendOutcome(Job.Key key, List<LogRecord> records) {
        CompletableFuture<Void> durable = append(key.program(), records);
        mPendingOutcomes.put(key, durable);
        durable.whenComplete((v, e) -> mPendingOutcomes.remove(key, durable));
        return durable;
    }

    /**
     * Checks that records can be stored.
     *
     * @throws HeathercourseException of kind {@code STORE_UNAVAILABLE} while too many bytes wait
     *     for the store, or while records of the program can be neither written nor copied to peers
     */
    void checkStoreBacklog(ProgramId program) {
        long pendingBytes = mDependencies.log().pendingBytes();
        if (pendingBytes > mDependencies.settings().maxPendingBytes()) {
            throw CallErrors.storeUnavailable(pendingBytes + " bytes wait for the store");
        }
        if (mDependencies.log().storeDown()
                && mDependencies.log().replicate(program).isCompletedExceptionally()) {
            throw CallErrors.storeUnavailable("records can be neither written nor copied");
        }
    }

    /**
     * Waits until a reservation is durable. While the store is down, a reservation that is copied
     * to other daemons is sufficient; without a copy, a crash of this daemon would lose the tokens
     * that the call spends.
     *
     * @throws HeathercourseException of kind {@code STORE_UNAVAILABLE} if neither happens in time
     */
    void awaitReservation(ProgramId program, CompletableFuture<Void> durable) {
        long waitedMillis = 0;
        while (!awaitDurable(durable, POLL_MILLIS, true)) {
            waitedMillis += POLL_MILLIS;
            if (mDependencies.log().storeDown() && awaitReplicated(program, durable, true)) {
                return;
            }
            if (waitedMillis >= mDependencies.settings().intentTimeoutMillis()) {
                throw CallErrors.storeUnavailable(
                        "the reservation was not written or copied in time");
            }
        }
    }

    /**
     * Waits until an answer may be delivered: until it is durable, or copied to other daemons if
     * the store does not answer. While copying fails, this waits for the store without limit.
     *
     * @return its durability, {@link #DURABLE} or {@link #PENDING}
     */
    String awaitDeliverable(ProgramId program, CompletableFuture<Void> durable) {
        long durabilityWaitMillis = mDependencies.settings().durabilityWaitMillis();
        if (awaitDurable(durable, durabilityWaitMillis, false)) {
            return DURABLE;
        }
        long waitedMillis = durabilityWaitMillis;
        while (!mDependencies.log().storeDown() && waitedMillis < MAX_DELIVERY_WAIT_MILLIS) {
            if (awaitDurable(durable, POLL_MILLIS, false)) {
                return DURABLE;
            }
            waitedMillis += POLL_MILLIS;
        }
        while (!awaitReplicated(program, durable, false)) {
            if (awaitDurable(durable, REPLICATION_RETRY_MILLIS, false)) {
                return DURABLE;
            }
        }
        return durable.isDone() && !durable.isCompletedExceptionally() ? DURABLE : PENDING;
    }

    /** Waits until the records of a program are copied or durable; returns false if both fail. */
    private boolean awaitReplicated(
            ProgramId program, CompletableFuture<Void> durable, boolean notRun) {
        CompletableFuture<Void> replicated = mDependencies.log().replicate(program);
        try {
            CompletableFuture.anyOf(replicated, durable).get();
            return true;
        } catch (InterruptedException e) {
            throw CallErrors.interrupted(notRun);
        } catch (ExecutionException e) {
            return false;
        }
    }

    /**
     * Determines the durability with which a recorded outcome is delivered again.
     *
     * @return completes with the durability once the outcome may be delivered
     */
    CompletableFuture<String> deliverableDurability(Job.Key key) {
        CompletableFuture<Void> durable = mPendingOutcomes.get(key);
        if (durable == null) {
            return CompletableFuture.completedFuture(DURABLE);
        }
        return mDependencies
                .log()
                .replicate(key.program())
                .handle((v, e) -> e == null)
                .thenCompose(
                        replicated ->
                                replicated
                                        ? CompletableFuture.completedFuture(PENDING)
                                        : durable.thenApply(v -> DURABLE));
    }

    /**
     * Waits until records are durable.
     *
     * @param durable completes when the records are durable
     * @param timeoutMillis maximum time to wait, in milliseconds
     * @param notRun whether an error reports the call as not run
     * @return whether they are durable; false after the timeout
     */
    boolean awaitDurable(CompletableFuture<Void> durable, long timeoutMillis, boolean notRun) {
        try {
            durable.get(timeoutMillis, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (InterruptedException e) {
            throw CallErrors.interrupted(notRun);
        } catch (ExecutionException e) {
            throw HeathercourseException.builder(ErrorKind.OWNERSHIP_LOST)
                    .message("the shard was lost before the record was durable")
                    .remedy("repeat the request with the same identity")
                    .notRun(notRun)
                    .cause(e.getCause())
                    .build();
        }
    }
}
