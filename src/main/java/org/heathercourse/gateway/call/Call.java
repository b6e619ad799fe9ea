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
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.limits.RateWaitPolicy;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetList;
import org.heathercourse.gateway.control.BudgetService.Reservation;
import org.heathercourse.gateway.target.Exchange;
import org.heathercourse.gateway.target.TargetPool;
import org.heathercourse.platform.entry.CallFacts;
import org.heathercourse.platform.entry.Dispatch;

/**
 * One request of a caller, from its arrival to the end of its answer.
 *
 * <p>Life cycle: {@link #start} checks the request and reserves budget; attempts at targets follow
 * until one brings an answer or none may be made any more; {@link #callerGone} ends it at any time.
 * Confined to the traffic loop.
 */
public final class Call {
    /** Pause in milliseconds before a target gets a request once more. */
    private static final long REPEAT_MILLIS = 25;

    /** Time to return in milliseconds if no target has room. */
    private static final long FULL_RETRY_MILLIS = 250;

    /** Time to return in milliseconds if the store does not answer. */
    private static final long STORE_RETRY_MILLIS = 1_200;

    /** Time in milliseconds for which a target without room is avoided. */
    private static final long FULL_AVOID_MILLIS = 60;

    /** Time in milliseconds for which a target is avoided after a failure. */
    private static final long FAILED_AVOID_MILLIS = 150;

    private final CallDependencies mDependencies;
    private final CallRequest mRequest;
    private final CallFacts mFacts;
    private final ResponseWriter mCaller;
    private final Runnable mEnded;
    private final long mArrivedMillis;
    private final CallRecord mRecord;
    private Admission mAdmission;
    private AttemptHistory mHistory;
    private ResponseRelay mRelay;
    private TurnBudget mBudget;
    private Placement mPlacement;
    private ScheduledFuture<?> mTimeout;
    private Attempt mAttempt;
    private Target mLastTarget;
    private int mRoomWaits;
    private boolean mNewcomer;
    private boolean mRateTaken;
    private boolean mDone;

    /**
     * Creates a call.
     *
     * @param dependencies what it uses
     * @param request the request
     * @param caller receives the answer
     * @param ended run once when the call has ended
     */
    public Call(
            CallDependencies dependencies,
            CallRequest request,
            ResponseWriter caller,
            Runnable ended) {
        mDependencies = dependencies;
        mRequest = request;
        mFacts = dependencies.format().read(request.headers());
        mCaller = caller;
        mEnded = ended;
        mArrivedMillis = dependencies.ticker().readMillis();
        mRecord = new CallRecord(mFacts, mArrivedMillis);
    }

    // Checks

    /** Starts the call. */
    public void start() {
        Either<ErrorResponse, Admission> admission =
                Admission.check(mDependencies, mRequest, mFacts);
        mRecord.configurationAgeMillis(mDependencies.configurationAge().ageMillis());
        if (admission.isLeft()) {
            refuse(admission.getLeft());
            return;
        }
        mAdmission = admission.get();
        mRecord.admitted(mAdmission);
        mBudget = new TurnBudget(mDependencies, mFacts, mAdmission);
        mPlacement = new Placement(mDependencies, mFacts, mAdmission);
        mHistory =
                new AttemptHistory(
                        mAdmission.route().repeatable(), mAdmission.route().maxTargets());
        long limitMillis = remainingMillis();
        if (limitMillis <= 0) {
            refuse(late());
            return;
        }
        mTimeout =
                mDependencies.loop().schedule(this::timedOut, limitMillis, TimeUnit.MILLISECONDS);
        if (mBudget.needed()) {
            mBudget.reserve().whenCompleteAsync(this::onReservation, mDependencies.loop());
        } else {
            admitRate();
        }
    }

    private void admitRate() {
        if (mAdmission.workspace() == null) {
            attempt();
            return;
        }
        mNewcomer = mBudget.programNotBegun() && mAdmission.priority() > 0;
        new RateGate(this, mAdmission.workspace(), mNewcomer).enter();
    }

    /** The call has a token of its workspace's rate. */
    void rateAdmitted() {
        mRateTaken = true;
        attempt();
    }

    /** Returns the time in milliseconds in which the caller and the route want an answer. */
    long remainingMillis() {
        long limitMillis = mAdmission.route().timeoutMillis();
        if (mFacts.deadlineMillis().isPresent()) {
            limitMillis = Math.min(limitMillis, mFacts.deadlineMillis().getAsLong());
        }
        return limitMillis - elapsedMillis();
    }

    /** Returns the time since the request came, in milliseconds. */
    long elapsedMillis() {
        return mDependencies.ticker().readMillis() - mArrivedMillis;
    }

    private void onReservation(Reservation reservation, Throwable error) {
        long tookMillis = elapsedMillis();
        mDependencies.metrics().budgetReserved(tookMillis);
        mRecord.budget(reservation, tookMillis);
        if (mDone) {
            mBudget.returnUnused(reservation);
            return;
        }
        BudgetOutcome outcome =
                reservation == null ? BudgetOutcome.UNAVAILABLE : reservation.outcome();
        switch (outcome) {
            case GRANTED -> {
                mBudget.granted(reservation);
                admitRate();
            }
            case EXHAUSTED ->
                    refuse(
                            ErrorResponse.of(
                                    ErrorKind.BUDGET_EXCEEDED,
                                    "the budget of the program does not hold the turn",
                                    "end the program, or start it with a larger budget"));
            default ->
                    refuse(
                            new ErrorResponse(
                                    ErrorKind.STORE_UNAVAILABLE,
                                    "the budget of the program cannot be read",
                                    "send the request again later",
                                    STORE_RETRY_MILLIS));
        }
    }

    // Attempts

    private void attempt() {
        if (mDone) {
            return;
        }
        List<Target> usable = mPlacement.usable();
        Optional<Target> target = mPlacement.choose(usable, mHistory.excluded());
        if (target.isEmpty()) {
            giveUp(usable.isEmpty() ? "no target of the service is known" : "no target has room");
        } else {
            attemptAt(target.get());
        }
    }

    private void attemptAt(Target target) {
        mLastTarget = target;
        TargetPool pool = mDependencies.pools().pool(target);
        Attempt attempt = new Attempt(this, pool);
        mAttempt = attempt;
        pool.load().recordStart();
        pool.acquire(mPlacement.maxConnections(target), attempt);
    }

    /** Sends the request on a connection, unless it must not be sent any more. */
    void send(Attempt attempt, Exchange exchange) {
        Target target = attempt.target();
        long remainingMillis = remainingMillis();
        boolean current = mDependencies.clusterView().targets().isUsable(target);
        if (mDone || remainingMillis <= 0 || !current) {
            exchange.closeUnused();
            attempt.notSent(current ? "the caller has left" : "the target is leaving", !current);
            return;
        }
        String afterEventId = mRelay == null ? null : mRelay.lastEventId();
        Dispatch dispatch =
                new Dispatch(
                        target.id(),
                        mAdmission.workspaceName(),
                        remainingMillis,
                        mAdmission.priority(),
                        afterEventId);
        attempt.sent(exchange);
        exchange.send(
                OutboundRequest.of(mRequest, dispatch, mDependencies.format()),
                mFacts.requestId(),
                attempt);
    }

    /** Returns what passes the answer on; the same one for all attempts. */
    ResponseRelay relay() {
        if (mRelay == null) {
            mRelay = new ResponseRelay(mCaller, mAdmission.route());
        }
        return mRelay;
    }

    // Ends of attempts

    /** An attempt brought the whole answer. */
    void answered(Attempt attempt, int status) {
        mAttempt = null;
        long now = mDependencies.ticker().readMillis();
        long firstByteMillis = mRelay.firstByteMillis(mArrivedMillis, now);
        mDependencies.metrics().answered(firstByteMillis, now - mArrivedMillis);
        mRecord.answered(status, firstByteMillis, mRelay.events());
        finish();
    }

    /** An attempt brought no usable answer. */
    void failed(Attempt attempt, Delivery delivery, String reason, boolean targetGone) {
        if (mDone) {
            return;
        }
        mAttempt = null;
        Target target = attempt.target();
        boolean gone = targetGone || !mDependencies.clusterView().targets().contains(target);
        mRecord.attemptFailed(target, delivery, reason);
        switch (mHistory.recordAttempt(target.id(), delivery, gone)) {
            case OTHER_TARGET -> {
                mDependencies.metrics().repeated();
                attempt();
            }
            case SAME_TARGET -> {
                mDependencies.metrics().repeated();
                mDependencies
                        .loop()
                        .schedule(() -> repeat(target), REPEAT_MILLIS, TimeUnit.MILLISECONDS);
            }
            case REFUSE -> giveUp(reason);
            default -> fail(reason);
        }
    }

    private void repeat(Target target) {
        if (mDone) {
            return;
        }
        if (mRelay != null && mRelay.begun()) {
            mDependencies.metrics().resumed();
        }
        TargetList targets = mDependencies.clusterView().targets();
        if (targets.isUsable(target)) {
            attemptAt(target);
        } else {
            attempt();
        }
    }

    /** No further attempt can be made now. */
    private void giveUp(String reason) {
        if (mHistory.finalAction() == AttemptHistory.NextAction.FAIL) {
            fail(reason);
            return;
        }
        long leftMillis =
                RateWaitPolicy.remainingWaitMillis(elapsedMillis(), remainingMillis(), mNewcomer);
        long pauseMillis =
                mHistory.canRetryAfterDelay()
                        ? CapacityBackoff.delayMillis(mRoomWaits, leftMillis)
                        : 0;
        if (pauseMillis > 0) {
            mRoomWaits++;
            mRecord.roomWaitMillis(pauseMillis);
            mHistory.resetRejections();
            mDependencies.loop().schedule(this::attempt, pauseMillis, TimeUnit.MILLISECONDS);
            return;
        }
        refuse(
                new ErrorResponse(
                        ErrorKind.OVERLOADED,
                        "the request has not run: " + reason,
                        "send the request again after the given time",
                        FULL_RETRY_MILLIS));
    }

    /** The request may have run and has no answer. */
    private void fail(String reason) {
        refuse(
                ErrorResponse.of(
                        ErrorKind.OUTCOME_UNKNOWN,
                        "the request may have run: " + reason,
                        "check its effect before sending it under a new identity"));
    }

    /** Ends the call without an answer of a target. */
    void refuse(ErrorResponse refusal) {
        if (mRelay != null && mRelay.begun()) {
            mDependencies.metrics().brokenOff();
            mRecord.brokenOff(refusal);
            mCaller.abort();
        } else {
            if (refusal.kind().notRunByDefault()) {
                refundRate();
            }
            mDependencies.metrics().refused(refusal.kind());
            mRecord.refused(refusal);
            refusal.writeTo(mCaller);
        }
        finish();
    }

    private void refundRate() {
        if (mRateTaken && mAdmission.workspace() != null) {
            mDependencies.rates().refund(mAdmission.workspace());
        }
    }

    private static ErrorResponse late() {
        return new ErrorResponse(
                ErrorKind.OVERLOADED,
                "the request has not run before its deadline",
                "send the request again with more time",
                FULL_RETRY_MILLIS);
    }

    private void timedOut() {
        if (mDone) {
            return;
        }
        boolean mayHaveRun =
                mHistory.possibleRunCount() > 0 || mAttempt != null && mAttempt.hasBeenSent();
        if (mayHaveRun) {
            refuse(
                    ErrorResponse.of(
                            ErrorKind.DEADLINE_EXCEEDED,
                            "no whole answer came before the deadline",
                            "check the effect of the request before sending it again"));
        } else {
            refuse(late());
        }
    }

    /** The caller closed its connection. */
    public void callerGone() {
        if (!mDone) {
            mDependencies.metrics().leftByCaller();
            mRecord.callerGone();
            finish();
        }
    }

    /** The caller takes more again, or does not. */
    public void writabilityChanged() {
        if (mAttempt != null) {
            mAttempt.reading(mCaller.isWritable());
        }
    }

    boolean done() {
        return mDone;
    }

    CallDependencies dependencies() {
        return mDependencies;
    }

    CallRecord record() {
        return mRecord;
    }

    long failedAvoidMillis() {
        return FAILED_AVOID_MILLIS;
    }

    long fullAvoidMillis() {
        return FULL_AVOID_MILLIS;
    }

    private void finish() {
        mDone = true;
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
        if (mAttempt != null) {
            mAttempt.cancel();
        }
        if (mBudget != null) {
            boolean ran = mRelay != null && mRelay.begun();
            mBudget.settle(mPlacement.service(), ran ? mRelay.events() : 0, ran);
        }
        mRecord.write(mDependencies.ticker().readMillis(), mLastTarget);
        mEnded.run();
    }
}
