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
 * Reads and extends the log of programs. Whoever decides on the state of a program and then appends
 * holds {@link #lock} in between. Safe for use by several threads.
 */
final class Recorder {
    static final String DURABLE = "durable";
    static final String PENDING = "pending";

    private static final int LOCKS = 256;
    private static final long STEP_MILLIS = 50;
    // A slow store that does not count as down delays an answer by at most this time.
    private static final long MAX_DELIVERY_WAIT_MILLIS = 5000;

    /** Pause before records that could not be copied are tried again. */
    private static final long COPY_RETRY_MILLIS = 500;

    private final CallDependencies mServices;
    private final Object[] mLocks = new Object[LOCKS];
    private final Map<Job.Key, CompletableFuture<Void>> mOutcomes = new ConcurrentHashMap<>();

    Recorder(CallDependencies services) {
        mServices = services;
        for (int i = 0; i < LOCKS; i++) {
            mLocks[i] = new Object();
        }
    }

    Object lock(ProgramId program) {
        return mLocks[Math.floorMod(program.hashCode(), LOCKS)];
    }

    Optional<ProgramState> find(ProgramId program) {
        return mServices.log().find(program);
    }

    CompletableFuture<Void> append(ProgramId program, List<LogRecord> records) {
        return mServices.log().append(program, records);
    }

    /** Appends the outcome of a call and remembers whether it is durable. */
    CompletableFuture<Void> appendOutcome(Job.Key key, List<LogRecord> records) {
        CompletableFuture<Void> durable = append(key.program(), records);
        mOutcomes.put(key, durable);
        durable.whenComplete((v, e) -> mOutcomes.remove(key, durable));
        return durable;
    }

    /**
     * Refuses new calls while too much waits for the store, or while records of the program can be
     * neither written nor copied.
     */
    void checkBacklog(ProgramId program) {
        long pending = mServices.log().pendingBytes();
        if (pending > mServices.settings().maxPendingBytes()) {
            throw CallErrors.storeUnavailable(pending + " bytes wait for the store");
        }
        if (mServices.log().storeDown()
                && mServices.log().replicate(program).isCompletedExceptionally()) {
            throw CallErrors.storeUnavailable("records can be neither written nor copied");
        }
    }

    /**
     * Waits until a reservation is durable. While the store is down, calls that may be repeated go
     * on as soon as it is copied to other daemons; without a copy a crash of this daemon would
     * forget what the call spends.
     */
    void awaitReservation(ProgramId program, CompletableFuture<Void> durable) {
        long waited = 0;
        while (!await(durable, STEP_MILLIS, true)) {
            waited += STEP_MILLIS;
            if (mServices.log().storeDown() && awaitCopies(program, durable, true)) {
                return;
            }
            if (waited >= mServices.settings().intentTimeoutMillis()) {
                throw CallErrors.storeUnavailable(
                        "the reservation was not written or copied in time");
            }
        }
    }

    /**
     * Waits until an answer may be delivered: until it is durable, or copied to other daemons if
     * the store does not answer. If neither is possible this waits for the store.
     *
     * @return its durability
     */
    String awaitDelivery(ProgramId program, CompletableFuture<Void> durable) {
        long first = mServices.settings().durabilityWaitMillis();
        if (await(durable, first, false)) {
            return DURABLE;
        }
        long waited = first;
        while (!mServices.log().storeDown() && waited < MAX_DELIVERY_WAIT_MILLIS) {
            if (await(durable, STEP_MILLIS, false)) {
                return DURABLE;
            }
            waited += STEP_MILLIS;
        }
        while (!awaitCopies(program, durable, false)) {
            if (await(durable, COPY_RETRY_MILLIS, false)) {
                return DURABLE;
            }
        }
        return durable.isDone() && !durable.isCompletedExceptionally() ? DURABLE : PENDING;
    }

    /** Waits until the records of a program are copied or durable; false if it is impossible. */
    private boolean awaitCopies(
            ProgramId program, CompletableFuture<Void> durable, boolean notRun) {
        CompletableFuture<Void> copied = mServices.log().replicate(program);
        try {
            CompletableFuture.anyOf(copied, durable).get();
            return true;
        } catch (InterruptedException e) {
            throw CallErrors.interrupted(notRun);
        } catch (ExecutionException e) {
            return false;
        }
    }

    /**
     * Returns the durability with which a recorded outcome may be delivered again.
     *
     * @return completes once it may be delivered
     */
    CompletableFuture<String> deliverable(Job.Key key) {
        CompletableFuture<Void> durable = mOutcomes.get(key);
        if (durable == null) {
            return CompletableFuture.completedFuture(DURABLE);
        }
        return mServices
                .log()
                .replicate(key.program())
                .handle((v, e) -> e == null)
                .thenCompose(
                        copied ->
                                copied
                                        ? CompletableFuture.completedFuture(PENDING)
                                        : durable.thenApply(v -> DURABLE));
    }

    /**
     * Waits for records.
     *
     * @param durable completes when the records are durable
     * @param millis longest time to wait
     * @param notRun what a loss of ownership says about the call
     * @return whether they are durable
     */
    boolean await(CompletableFuture<Void> durable, long millis, boolean notRun) {
        try {
            durable.get(millis, TimeUnit.MILLISECONDS);
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
