package org.heathercourse.gateway.call;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.history.History;
import org.heathercourse.core.history.TurnWaitPolicy;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.core.routing.Route;
import org.heathercourse.core.routing.RouteKind;
import org.heathercourse.gateway.history.HistoryNotAdmittedException;
import org.heathercourse.platform.entry.CallFacts;

/**
 * One turn on a route that retains histories: its history is read before the first attempt, and the
 * turn is made durable before its response ends.
 *
 * <p>A turn is its whole output. A caller that resumes the stream of a turn has the first events
 * from a gateway that may be gone, so the turn runs from its start again, and the caller receives
 * the events that it lacks. Targets that can resume each other's streams make the same events.
 *
 * <p>Life cycle: {@link #readHistory}, {@link #keep} once a target has responded completely, {@link
 * #release}. The call may end at any time in between. Confined to the traffic loop.
 */
final class RetainedTurn {
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_FAILURE_STATUS = 300;

    /** The body that targets receive, and the rows that {@link History} keeps until the end. */
    private static final long HISTORY_COPIES = 2;

    private static final byte[] NO_HISTORY = new byte[0];

    private final Call mCall;
    private final CallDependencies mDependencies;
    private final CallRequest mRequest;
    private final CallFacts mFacts;
    private final Admission mAdmission;
    private final MemoryBudget.Reservation mMemory;
    private final TurnOutput mOutput;

    /** Whether the memory of the history is needed although the call may have ended. */
    private boolean mReading;

    private CompletableFuture<Void> mWrite = CompletableFuture.completedFuture(null);
    private History mParent;
    private byte[] mHistoryBody = NO_HISTORY;
    private ScheduledFuture<?> mReadTimeout;
    private boolean mReadEnded;

    private RetainedTurn(Call call, CallRequest request, CallFacts facts, Admission admission) {
        mCall = call;
        mDependencies = call.dependencies();
        mRequest = request;
        mFacts = facts;
        mAdmission = admission;
        mMemory = mDependencies.memory().reserveNothing();
        mOutput = new TurnOutput(mDependencies.memory(), mDependencies.maxHistoryBytes());
    }

    /** Returns the turn of a call; null if its route retains no histories. */
    static RetainedTurn of(Call call, CallRequest request, CallFacts facts, Admission admission) {
        Route route = admission.route();
        return route.retainsHistory() && route.kind() == RouteKind.STREAMING
                ? new RetainedTurn(call, request, facts, admission)
                : null;
    }

    /**
     * Refuses the turn if the store is known not to reply, because its end could not be made
     * durable. Requires that the turn has not run.
     *
     * @return whether the call has ended
     */
    boolean refuseIfStoreAway() {
        if (mDependencies.turnHistory().isAvailable()) {
            return false;
        }
        refuse(
                HistoryRefusal.STORE_AWAY,
                CallErrors.historyUnavailable("the store of histories does not reply"));
        return true;
    }

    // History

    /** Reads the history that the turn continues, if there is one, and starts the attempts. */
    void readHistory() {
        if (mFacts.previousTurnId() == null) {
            mCall.tryNextTarget();
            return;
        }
        mReading = true;
        long startMillis = mDependencies.ticker().readMillis();
        mReadTimeout =
                mDependencies
                        .loop()
                        .schedule(
                                this::onReadTimeout,
                                TurnWaitPolicy.maxReadMillis(mCall.remainingMillis()),
                                TimeUnit.MILLISECONDS);
        mDependencies
                .turnHistory()
                .read(workspace(), mFacts.previousTurnId(), this::admitHistory)
                .whenCompleteAsync(
                        (history, error) -> onRead(history, error, startMillis),
                        mDependencies.loop());
    }

    private String workspace() {
        String name = mAdmission.workspaceName();
        return name == null ? "" : name;
    }

    private void onReadTimeout() {
        if (!mReadEnded && !mCall.isEnded()) {
            mReadEnded = true;
            refuse(
                    HistoryRefusal.READ_LATE,
                    CallErrors.historyUnavailable("its history was not read in time"));
        }
    }

    /** Reserves the memory of a history before it is read, unless nobody waits for it. */
    private CompletableFuture<Boolean> admitHistory(long bytes) {
        return CompletableFuture.supplyAsync(
                () -> !mReadEnded && !mCall.isEnded() && mMemory.resize(HISTORY_COPIES * bytes),
                mDependencies.loop());
    }

    private void onRead(Optional<History> history, Throwable error, long startMillis) {
        mReading = false;
        if (mReadEnded || mCall.isEnded()) {
            mMemory.release();
            return;
        }
        mReadEnded = true;
        mReadTimeout.cancel(false);
        long readMillis = mDependencies.ticker().readMillis() - startMillis;
        mCall.logEntry().recordHistoryRead(readMillis);
        mDependencies.metrics().recordHistoryRead(readMillis);
        if (error != null) {
            refuseUnread(error);
        } else if (history.isEmpty()) {
            refuse(HistoryRefusal.UNKNOWN_TURN, CallErrors.unknownTurn());
        } else {
            useHistory(history.get());
        }
    }

    private void refuseUnread(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof HeathercourseException failure
                && failure.kind() == ErrorKind.PAYLOAD_TOO_LARGE) {
            refuseTooLarge();
        } else if (cause instanceof HistoryNotAdmittedException) {
            refuse(HistoryRefusal.NO_MEMORY, CallErrors.memoryExhausted(mDependencies.random()));
        } else {
            refuse(
                    HistoryRefusal.READ_FAILED,
                    CallErrors.historyUnavailable("its history cannot be read now"));
        }
    }

    private void refuseTooLarge() {
        refuse(
                HistoryRefusal.TOO_LARGE,
                CallErrors.historyTooLarge(mDependencies.maxHistoryBytes()));
    }

    private void useHistory(History parent) {
        long bytes = parent.sizeBytes();
        if (bytes + mRequest.body().length > mDependencies.maxHistoryBytes()) {
            refuseTooLarge();
        } else {
            mParent = parent;
            mHistoryBody = parent.body();
            mCall.logEntry().recordHistoryBytes(bytes);
            mDependencies.metrics().recordHistoryBytes(bytes);
            mCall.tryNextTarget();
        }
    }

    private void refuse(HistoryRefusal refusal, ErrorResponse error) {
        mCall.logEntry().recordHistoryRefusal(refusal);
        mDependencies.metrics().recordHistoryRefusal(refusal);
        mCall.endWithError(error);
    }

    /**
     * Returns the id of the last event that the caller already has, up to which nothing is
     * forwarded; null if it is to receive the whole stream.
     */
    String lastReadEventId() {
        return mAdmission.route().repeatable() ? mFacts.lastEventId() : null;
    }

    /** Returns what every attempt sends ahead of the caller's own input; not to be modified. */
    byte[] historyBody() {
        return mHistoryBody;
    }

    // End of the turn

    /** Returns the output, which the events forwarded to the caller extend. */
    TurnOutput output() {
        return mOutput;
    }

    /** Returns whether a complete response with a status makes the request a turn. */
    boolean isKeptAfter(int status) {
        return status >= MIN_SUCCESS_STATUS && status < MIN_FAILURE_STATUS;
    }

    /**
     * Makes the turn durable, and ends the response when that is done. If it fails or is not done
     * in time, the response never ends.
     *
     * @param attempt attempt with the complete response
     */
    void keep(Attempt attempt) {
        mHistoryBody = NO_HISTORY;
        mMemory.resize(mParent == null ? 0 : mParent.sizeBytes());
        long startMillis = mDependencies.ticker().readMillis();
        long maxWaitMillis =
                TurnWaitPolicy.maxWriteMillis(
                        mCall.remainingMillis(),
                        mDependencies.drainSchedule().get().millisToResponseEnd(startMillis));
        mWrite =
                mDependencies
                        .turnHistory()
                        .append(
                                workspace(),
                                mFacts.requestId(),
                                mParent,
                                mRequest.body(),
                                mOutput.data(),
                                mAdmission.route().retentionMillis(),
                                maxWaitMillis);
        mWrite.whenCompleteAsync(
                (done, error) -> onKept(attempt, error, startMillis), mDependencies.loop());
    }

    private void onKept(Attempt attempt, Throwable error, long startMillis) {
        long heldMillis = mDependencies.ticker().readMillis() - startMillis;
        mDependencies.metrics().recordTurnWrite(error == null, heldMillis);
        mCall.logEntry().recordTurnHeld(heldMillis);
        if (error != null) {
            mCall.logEntry().logTurnNotKept(error, heldMillis);
        }
        if (mCall.isEnded()) {
            return;
        }
        if (error == null) {
            mCall.endResponse(attempt);
        } else {
            mCall.endWithError(CallErrors.unknownOutcome("the turn was not made durable"));
        }
    }

    /** Returns the memory of the turn to the budget, and gives up a write that has not begun. */
    void release() {
        mWrite.cancel(false);
        mHistoryBody = NO_HISTORY;
        mParent = null;
        if (!mReading) {
            mMemory.release();
        }
        mOutput.release();
        if (mReadTimeout != null) {
            mReadTimeout.cancel(false);
        }
    }
}
