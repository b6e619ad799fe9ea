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

    private final CallServices mServices;
    private final Object[] mLocks = new Object[LOCKS];
    private final Map<Job.Key, CompletableFuture<Void>> mOutcomes = new ConcurrentHashMap<>();

    Recorder(CallServices services) {
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

    /** Returns the durability of a recorded outcome. */
    String durability(Job.Key key) {
        return mOutcomes.containsKey(key) ? PENDING : DURABLE;
    }

    /** Refuses new calls while too much waits for the store. */
    void checkBacklog() {
        long pending = mServices.log().pendingBytes();
        if (pending > mServices.settings().maxPendingBytes()) {
            throw CallErrors.storeUnavailable(pending + " bytes wait for the store");
        }
    }

    /**
     * Waits until a reservation is durable. While the store is down, calls that may be repeated go
     * on without.
     */
    void awaitReservation(CompletableFuture<Void> durable) {
        long waited = 0;
        while (!await(durable, STEP_MILLIS, true)) {
            waited += STEP_MILLIS;
            if (mServices.log().storeDown()) {
                return;
            }
            if (waited >= mServices.settings().intentWaitMillis()) {
                throw CallErrors.storeUnavailable("the reservation was not durable in time");
            }
        }
    }

    /**
     * Waits until an answer may be delivered.
     *
     * @return its durability
     */
    String awaitDelivery(CompletableFuture<Void> durable) {
        long first = mServices.settings().pendingAfterMillis();
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
        return durable.isDone() && !durable.isCompletedExceptionally() ? DURABLE : PENDING;
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
