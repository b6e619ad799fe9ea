package org.heathercourse.gateway.call;

import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.attempt.AttemptHistory;
import org.heathercourse.core.attempt.CapacityBackoff;
import org.heathercourse.core.attempt.Delivery;
import org.heathercourse.core.budget.BudgetOutcome;
import org.heathercourse.core.limits.RateWaitPolicy;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetState;
import org.heathercourse.gateway.control.BudgetService.Reservation;
import org.heathercourse.gateway.target.Exchange;
import org.heathercourse.gateway.target.TargetPool;
import org.heathercourse.platform.entry.CallFacts;
import org.heathercourse.platform.entry.Dispatch;

/**
 * One request of a caller, from its arrival to the end of its response.
 *
 * <p>Life cycle: {@link #start} checks the request and reserves budget and a rate token; attempts
 * at targets follow until one returns a complete response or no further attempt is allowed. {@link
 * #onCallerDisconnected} ends the call at any time. Confined to the traffic loop.
 */
public final class Call {
    /** Delay in milliseconds before a request is retried at the same target. */
    private static final long SAME_TARGET_RETRY_DELAY_MILLIS = 25;

    /** Backoff of a target in milliseconds after it rejected a request for lack of capacity. */
    private static final long REJECTION_BACKOFF_MILLIS = 60;

    /** Initial backoff of a target in milliseconds after a failure. */
    private static final long FAILURE_BACKOFF_MILLIS = 150;

    private static final byte[] NO_HISTORY = new byte[0];

    private final CallDependencies mDependencies;
    private final CallRequest mRequest;
    private final CallFacts mFacts;
    private final ResponseWriter mWriter;
    private final Runnable mOnEnd;
    private final long mArrivedMillis;
    private final CallLogEntry mLogEntry;
    private Admission mAdmission;
    private CrashGuard mCrashGuard;
    private AttemptHistory mHistory;
    private ResponseRelay mRelay;
    private TurnBudget mBudget;
    private Placement mPlacement;

    /** Null if the route retains no histories. */
    private RetainedTurn mTurn;

    private CallWork mWork;
    private ScheduledFuture<?> mTimeout;
    private Attempt mAttempt;
    private Target mLastTarget;
    private int mCapacityWaits;
    private boolean mNewProgram;
    private boolean mRateTokenAcquired;

    /** Whether a target's response is complete; its end may still wait for a write. */
    private boolean mResponseWhole;

    private boolean mEnded;

    /**
     * Creates a call that has not started.
     *
     * @param dependencies collaborators of the call
     * @param request request of the caller
     * @param writer receives the response
     * @param onEnd runs once when the call has ended
     */
    public Call(
            CallDependencies dependencies,
            CallRequest request,
            ResponseWriter writer,
            Runnable onEnd) {
        mDependencies = dependencies;
        mRequest = request;
        mFacts = dependencies.format().read(request.headers());
        mWriter = writer;
        mOnEnd = onEnd;
        mArrivedMillis = dependencies.ticker().readMillis();
        mLogEntry = new CallLogEntry(mFacts, mArrivedMillis);
        mLogEntry.recordLeaving(
                dependencies.drainSchedule().get().millisSinceStart(mArrivedMillis));
    }

    // Checks

    /** Checks the request and starts the call, or responds with an error. */
    public void start() {
        Either<ErrorResponse, Admission> admission =
                Admission.check(mDependencies, mRequest, mFacts);
        mLogEntry.recordConfigurationAge(mDependencies.configurationAge().ageMillis());
        if (admission.isLeft()) {
            endWithError(admission.getLeft());
            return;
        }
        mAdmission = admission.get();
        mLogEntry.recordAdmission(mAdmission);
        mBudget = new TurnBudget(mDependencies, mFacts, mAdmission);
        mTurn = RetainedTurn.of(this, mRequest, mFacts, mAdmission);
        mWork = new CallWork(mDependencies, mFacts, mAdmission, mRequest.body().length);
        mPlacement = new Placement(mDependencies, mFacts, mAdmission, mWork);
        mCrashGuard =
                new CrashGuard(mDependencies.crashRecords(), mRequest, mAdmission.workspaceName());
        mHistory =
                new AttemptHistory(
                        mAdmission.route().repeatable(), mAdmission.route().maxTargets());
        long timeoutMillis = remainingMillis();
        if (timeoutMillis <= 0) {
            endWithError(CallErrors.deadlineExpired());
            return;
        }
        if (!canEndBeforeExit()) {
            endWithError(CallErrors.leaving());
            return;
        }
        if (mCrashGuard.isQuarantined()) {
            endQuarantined();
            return;
        }
        if (mTurn != null && mTurn.refuseIfStoreAway()) {
            return;
        }
        mTimeout =
                mDependencies
                        .loop()
                        .schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        if (mBudget.isRequired()) {
            mBudget.reserve().whenCompleteAsync(this::onReservation, mDependencies.loop());
        } else {
            requestRateToken();
        }
    }

    private void requestRateToken() {
        if (mAdmission.workspace() == null) {
            startAttempts();
            return;
        }
        mNewProgram = mBudget.isNewProgram() && mAdmission.priority() > 0;
        new RateAdmission(this, mAdmission.workspace(), mNewProgram).requestAdmission();
    }

    /** Called when the call has acquired a token of its workspace's rate. */
    void onRateAdmitted() {
        mRateTokenAcquired = true;
        startAttempts();
    }

    private void startAttempts() {
        if (mTurn == null) {
            tryNextTarget();
        } else {
            mTurn.readHistory();
        }
    }

    /**
     * Returns the time in milliseconds until the caller's deadline or the route's timeout,
     * whichever is first.
     */
    long remainingMillis() {
        long timeoutMillis = mAdmission.route().timeoutMillis();
        if (mFacts.deadlineMillis().isPresent()) {
            timeoutMillis = Math.min(timeoutMillis, mFacts.deadlineMillis().getAsLong());
        }
        return timeoutMillis - elapsedMillis();
    }

    /**
     * Returns whether a leaving gateway may still pass the request on. A request that was admitted
     * before and then waited for a rate, a budget, a slot or a connection may no longer.
     */
    private boolean canEndBeforeExit() {
        return mDependencies
                .drainSchedule()
                .get()
                .admits(mDependencies.ticker().readMillis(), remainingMillis());
    }

    /** Returns the time since the request arrived, in milliseconds. */
    long elapsedMillis() {
        return mDependencies.ticker().readMillis() - mArrivedMillis;
    }

    private void onReservation(Reservation reservation, Throwable error) {
        long durationMillis = elapsedMillis();
        mDependencies.metrics().recordBudgetReservation(durationMillis);
        mLogEntry.recordBudget(reservation, durationMillis);
        if (mEnded) {
            mBudget.releaseUnused(reservation);
            return;
        }
        BudgetOutcome outcome =
                reservation == null ? BudgetOutcome.UNAVAILABLE : reservation.outcome();
        switch (outcome) {
            case GRANTED -> {
                mBudget.setReservation(reservation);
                requestRateToken();
            }
            case EXHAUSTED -> endWithError(CallErrors.budgetExceeded());
            default -> endWithError(CallErrors.budgetUnavailable());
        }
    }

    // Attempts

    /** Sends the request to a target, unless the call has ended or may no longer run. */
    void tryNextTarget() {
        if (mEnded) {
            return;
        }
        if (mCrashGuard.isQuarantined()) {
            endQuarantined();
            return;
        }
        if (!mayHaveRun() && !canEndBeforeExit()) {
            endWithError(CallErrors.leaving());
            return;
        }
        Optional<ErrorResponse> keyRefusal = keyRefusal();
        if (keyRefusal.isPresent()) {
            endWithError(keyRefusal.get());
            return;
        }
        if (!mayHaveRun() && mTurn != null && mTurn.refuseIfStoreAway()) {
            return;
        }
        List<Target> candidates = mPlacement.usableTargets();
        Optional<Target> target = mPlacement.selectTarget(candidates, mHistory::permits);
        if (target.isEmpty()) {
            waitOrReject(
                    candidates.isEmpty()
                            ? "the service has no usable target"
                            : "no target has capacity");
        } else {
            tryTarget(target.get());
        }
    }

    /**
     * Returns the refusal of a request whose key is not valid any more; empty if it may be sent. A
     * request that may have run goes on, as a refusal would say that it has not run.
     */
    private Optional<ErrorResponse> keyRefusal() {
        return mayHaveRun()
                ? Optional.empty()
                : mAdmission.refusalAfterWait(mDependencies, mRequest, mFacts);
    }

    private void tryTarget(Target target) {
        mLastTarget = target;
        TargetPool pool = mDependencies.pools().pool(target);
        mLogEntry.recordSelection(mWork);
        Attempt attempt = new Attempt(this, pool, mWork.begin(target));
        mAttempt = attempt;
        pool.load().recordStart();
        pool.acquire(mFacts.requestId(), mPlacement.maxConnections(target), attempt);
    }

    /** Sends the request, unless the call has ended or the target no longer accepts requests. */
    void send(Attempt attempt, Exchange exchange) {
        Target target = attempt.target();
        long remainingMillis = remainingMillis();
        if (!mEnded && mCrashGuard.isQuarantined()) {
            exchange.closeUnused();
            attempt.failUnsent("the request was quarantined while its connection opened", false);
            return;
        }
        if (!mEnded && !mayHaveRun() && !canEndBeforeExit()) {
            exchange.closeUnused();
            attempt.failUnsent("the gateway exits before the request would have to end", false);
            return;
        }
        if (!mEnded && keyRefusal().isPresent()) {
            exchange.releaseUnused();
            attempt.failUnsent("the key may be invalid since its connection was requested", false);
            return;
        }
        boolean isTargetUsable = targetState(target).acceptsRequests();
        if (mEnded || remainingMillis <= 0 || !isTargetUsable) {
            exchange.closeUnused();
            attempt.failUnsent(
                    isTargetUsable
                            ? "the call has ended or its deadline has passed"
                            : "the target gets no new requests: " + targetState(target).logName(),
                    targetState(target).hasEnded());
            return;
        }
        if (!mPlacement.admitAtTarget(target)) {
            exchange.releaseUnused();
            attempt.failUnsent("the target is cold and may get no request now", false);
            return;
        }
        Dispatch dispatch =
                new Dispatch(
                        target.id(),
                        mAdmission.workspaceName(),
                        remainingMillis,
                        mWork.priority(elapsedMillis()),
                        afterEventId());
        attempt.recordSent(exchange);
        exchange.send(
                OutboundRequest.build(
                        mRequest,
                        mTurn == null ? NO_HISTORY : mTurn.historyBody(),
                        dispatch,
                        mDependencies.format()),
                mFacts.requestId(),
                attempt);
    }

    /** Returns after which event the next attempt goes on; see {@link Dispatch}. */
    private String afterEventId() {
        String lastEventId = mRelay == null ? null : mRelay.lastEventId();
        return lastEventId == null && mTurn != null ? Dispatch.STREAM_START : lastEventId;
    }

    /** Returns the relay to the caller; all attempts share it. */
    ResponseRelay relay() {
        if (mRelay == null) {
            mRelay = new ResponseRelay(mWriter, mAdmission.route(), mDependencies.memory(), mTurn);
        }
        return mRelay;
    }

    // Ends of attempts

    /**
     * Called when an attempt has returned a complete response; its end waits until the turn is
     * durable, if it is to be kept.
     */
    void onWholeResponse(Attempt attempt) {
        mAttempt = null;
        mResponseWhole = true;
        mCrashGuard.recordAnswer(attempt.status());
        if (mTurn == null || !mTurn.isKeptAfter(attempt.status())) {
            endResponse(attempt);
        } else if (!mRelay.hasReachedNewEvents()) {
            endWithUnknownOutcome(Acceptance.UNKNOWN_LAST_EVENT.reason());
        } else if (mRelay.forwardRest()) {
            mTurn.keep(attempt);
        } else {
            endWithUnknownOutcome(Acceptance.OUTPUT_LOST.reason());
        }
    }

    /** Ends the response to the caller, and the call. */
    void endResponse(Attempt attempt) {
        mRelay.onEnd(mDependencies.ticker().readMillis());
        long now = mDependencies.ticker().readMillis();
        long firstByteMillis = mRelay.firstByteMillis(mArrivedMillis, now);
        mDependencies.metrics().recordAnswered(firstByteMillis, now - mArrivedMillis);
        mDependencies.metrics().recordFraming(attempt.framing());
        mLogEntry.recordAnswered(attempt, firstByteMillis, mRelay.eventCount());
        finish();
    }

    /**
     * Called when the target's process has ended while it ran an attempt; the call may have ended
     * in the meantime.
     */
    void onTargetCrashed(Attempt attempt, String reason) {
        mDependencies.metrics().recordTargetCrash();
        mLogEntry.logTargetCrash(attempt.target(), mCrashGuard.digest());
        mCrashGuard
                .recordCrash(attempt.target(), attempt.runMillis())
                .whenCompleteAsync(
                        (done, error) ->
                                onAttemptFailed(attempt, Delivery.MAY_HAVE_RUN, reason, true),
                        mDependencies.loop());
    }

    private void endQuarantined() {
        if (mayHaveRun()) {
            endWithUnknownOutcome(mCrashGuard.reason());
        } else {
            endWithError(mCrashGuard.notRun());
        }
    }

    /**
     * Called when an attempt has returned no usable response.
     *
     * @param attempt the attempt
     * @param delivery whether the target may have run the request
     * @param reason cause of the failure
     * @param targetEnded whether the target's process is known to have ended
     */
    void onAttemptFailed(Attempt attempt, Delivery delivery, String reason, boolean targetEnded) {
        if (mEnded) {
            return;
        }
        mAttempt = null;
        Target target = attempt.target();
        boolean isTargetEnded = targetEnded || targetState(target).hasEnded();
        mLogEntry.logFailedAttempt(attempt, targetState(target), delivery, isTargetEnded, reason);
        if (mRelay != null && !mRelay.canBeContinued()) {
            mHistory.recordAttempt(target.id(), delivery, isTargetEnded);
            endWithUnknownOutcome(reason);
            return;
        }
        switch (mHistory.recordAttempt(target.id(), delivery, isTargetEnded)) {
            case OTHER_TARGET -> {
                mDependencies.metrics().recordRetry();
                tryNextTarget();
            }
            case SAME_TARGET -> {
                mDependencies.metrics().recordRetry();
                mDependencies
                        .loop()
                        .schedule(
                                () -> retryTarget(target),
                                SAME_TARGET_RETRY_DELAY_MILLIS,
                                TimeUnit.MILLISECONDS);
            }
            case REFUSE -> waitOrReject(reason);
            default -> endWithUnknownOutcome(reason);
        }
    }

    private void retryTarget(Target target) {
        if (mEnded) {
            return;
        }
        if (mCrashGuard.isQuarantined()) {
            endQuarantined();
            return;
        }
        if (mRelay != null && mRelay.isStarted()) {
            mDependencies.metrics().recordResume();
        }
        if (targetState(target).acceptsRequests()) {
            tryTarget(target);
        } else {
            tryNextTarget();
        }
    }

    /** Waits for capacity, or ends the call if no further attempt can be made. */
    private void waitOrReject(String reason) {
        if (mHistory.finalAction() == AttemptHistory.NextAction.FAIL) {
            endWithUnknownOutcome(reason);
            return;
        }
        long remainingWaitMillis =
                RateWaitPolicy.remainingWaitMillis(elapsedMillis(), remainingMillis(), mNewProgram);
        long delayMillis =
                mHistory.canRetryAfterDelay()
                        ? CapacityBackoff.delayMillis(mCapacityWaits, remainingWaitMillis)
                        : 0;
        if (delayMillis > 0) {
            mCapacityWaits++;
            mLogEntry.addCapacityWait(delayMillis);
            mHistory.resetRejections();
            mDependencies.loop().schedule(this::tryNextTarget, delayMillis, TimeUnit.MILLISECONDS);
            return;
        }
        endWithError(CallErrors.notRun(reason));
    }

    /** Ends a call whose request may have run but has no response. */
    private void endWithUnknownOutcome(String reason) {
        endWithError(CallErrors.unknownOutcome(reason));
    }

    /**
     * Ends the call with an error response; aborts the response instead if a part of it was already
     * sent.
     */
    void endWithError(ErrorResponse error) {
        if (mRelay != null && mRelay.isStarted()) {
            mDependencies.metrics().recordAborted();
            mLogEntry.recordAborted(error);
            mWriter.abort();
        } else {
            if (error.kind().notRunByDefault()) {
                refundRate();
            }
            mDependencies.metrics().recordErrorResponse(error.kind());
            mLogEntry.recordErrorResponse(error);
            error.writeTo(mWriter);
        }
        finish();
    }

    private void refundRate() {
        if (mRateTokenAcquired && mAdmission.workspace() != null) {
            mDependencies.rates().refund(mAdmission.workspace());
        }
    }

    private boolean mayHaveRun() {
        return mResponseWhole
                || mHistory.possibleRunCount() > 0
                || mAttempt != null && mAttempt.hasBeenSent();
    }

    private void onTimeout() {
        if (mEnded) {
            return;
        }
        endWithError(mayHaveRun() ? CallErrors.deadlineExceeded() : CallErrors.deadlineExpired());
    }

    /** Called when the caller has closed its connection. */
    public void onCallerDisconnected() {
        if (!mEnded) {
            mDependencies.metrics().recordCallerDisconnected();
            mLogEntry.recordCallerDisconnected();
            finish();
        }
    }

    /** Pauses or resumes reading from the target when the caller's write buffer fills or drains. */
    public void onWritabilityChanged() {
        if (mAttempt != null) {
            mAttempt.setAutoRead(mWriter.isWritable());
        }
    }

    boolean isEnded() {
        return mEnded;
    }

    /** Returns what the list of targets tells about a target at this time. */
    TargetState targetState(Target target) {
        return mDependencies.clusterView().targets().state(target);
    }

    CallDependencies dependencies() {
        return mDependencies;
    }

    CallLogEntry logEntry() {
        return mLogEntry;
    }

    long failureBackoffMillis() {
        return FAILURE_BACKOFF_MILLIS;
    }

    long rejectionBackoffMillis() {
        return REJECTION_BACKOFF_MILLIS;
    }

    /** Ends the call because the process exits: with an error response, if none has begun. */
    public void endForExit() {
        mLogEntry.logCutOff(mDependencies.ticker().readMillis(), mLastTarget, mayHaveRun());
        if (mayHaveRun()) {
            endWithUnknownOutcome("the gateway exits before the response is complete");
        } else {
            endWithError(CallErrors.leaving());
        }
    }

    private void finish() {
        mEnded = true;
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
        if (mAttempt != null) {
            mAttempt.cancel();
        }
        if (mBudget != null) {
            boolean ran = mResponseWhole || mRelay != null && mRelay.isStarted();
            mBudget.settle(mPlacement.serviceName(), ran ? mRelay.eventCount() : 0, ran);
        }
        if (mRelay != null) {
            mRelay.release();
        }
        if (mTurn != null) {
            mTurn.release();
        }
        mLogEntry.log(mDependencies.ticker().readMillis(), mLastTarget);
        mOnEnd.run();
    }
}
