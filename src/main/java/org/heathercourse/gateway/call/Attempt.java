package org.heathercourse.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.heathercourse.core.attempt.Delivery;
import org.heathercourse.core.load.OwnWork;
import org.heathercourse.core.load.OwnWork.Outcome;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetState;
import org.heathercourse.gateway.target.BodyFraming;
import org.heathercourse.gateway.target.ConnectionUse;
import org.heathercourse.gateway.target.Exchange;
import org.heathercourse.gateway.target.ProcessState;
import org.heathercourse.gateway.target.ResponseFailure;
import org.heathercourse.gateway.target.ResponseHead;
import org.heathercourse.gateway.target.ResponseListener;
import org.heathercourse.gateway.target.TargetPool;

/**
 * One attempt to run a call at one target. Reports with a failure whether the target may have run
 * the request. Confined to the traffic loop.
 */
final class Attempt implements TargetPool.AcquireListener, ResponseListener {
    private static final int MIN_FAILURE_STATUS = 300;

    /**
     * Time in milliseconds for which a target that refused a connection gets no request. A restart
     * takes seconds, and the new process has a load record of its own.
     */
    private static final long ENDED_TARGET_MILLIS = 500;

    private final Call mCall;
    private final TargetPool mPool;
    private final OwnWork.Ticket mWork;
    private Exchange mExchange;
    private long mSentMillis;
    private int mStatus;
    private BodyFraming mFraming;
    private boolean mReportedNotRun;
    private boolean mEnded;

    /**
     * Creates an attempt.
     *
     * @param call the call
     * @param pool connections to the target
     * @param work ends the work at the target; null while gateways do not share their load
     */
    Attempt(Call call, TargetPool pool, OwnWork.Ticket work) {
        mCall = call;
        mPool = pool;
        mWork = work;
    }

    Target target() {
        return mPool.target();
    }

    /** Returns how the end of the response's body is found; null before the response's head. */
    BodyFraming framing() {
        return mFraming;
    }

    /** Returns what the connection had carried when the request was sent. */
    ConnectionUse connectionUse() {
        return mExchange == null ? ConnectionUse.NONE : mExchange.connectionUse();
    }

    /** Returns the number of responses to other requests that came before the own response. */
    int skippedResponses() {
        return mExchange == null ? 0 : mExchange.skippedResponses();
    }

    /** Returns the status of the target's response; 0 before the response's head. */
    int status() {
        return mStatus;
    }

    /** Returns the time in milliseconds since the request was sent. */
    long runMillis() {
        return now() - mSentMillis;
    }

    boolean hasBeenSent() {
        return mExchange != null;
    }

    // Connection

    @Override
    public void onConnection(Exchange exchange) {
        if (mEnded) {
            exchange.closeUnused();
            return;
        }
        mCall.send(this, exchange);
    }

    @Override
    public void onUnavailable(TargetPool.Unavailability cause, String detail) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        if (cause.isTargetGone()) {
            mPool.load().recordEnd(now(), ENDED_TARGET_MILLIS);
        }
        if (cause.isTargetFailure()) {
            endWork(Outcome.FAILED);
            mPool.load().recordFailure(now(), mCall.failureBackoffMillis());
        } else {
            endWork(Outcome.INCONCLUSIVE);
            mPool.load().recordInconclusive();
        }
        // A target that leaves may close its port before its process ends.
        boolean ended = cause.isTargetGone() && mCall.targetState(target()).acceptsRequests();
        mCall.onAttemptFailed(this, Delivery.NOT_SENT, detail, ended);
    }

    /** Records that the request is being sent on the given exchange. */
    void recordSent(Exchange exchange) {
        mExchange = exchange;
        mSentMillis = now();
    }

    /**
     * Gives up the attempt before any byte of the request was sent.
     *
     * @param reason why the request is not sent
     * @param targetEnded whether the target's process is known to have ended
     */
    void failUnsent(String reason, boolean targetEnded) {
        if (!mEnded) {
            mEnded = true;
            endWork(Outcome.INCONCLUSIVE);
            mPool.load().recordInconclusive();
            mCall.onAttemptFailed(this, Delivery.NOT_SENT, reason, targetEnded);
        }
    }

    /** Cancels the attempt because the call has ended; it counts neither as success nor failure. */
    void cancel() {
        if (!mEnded) {
            mEnded = true;
            endWork(Outcome.INCONCLUSIVE);
            mPool.load().recordInconclusive();
            if (mExchange != null) {
                mExchange.cancel();
            }
        }
    }

    void setAutoRead(boolean enabled) {
        if (mExchange != null && !mEnded) {
            mExchange.setAutoRead(enabled);
        }
    }

    // Response

    @Override
    public void onHead(ResponseHead head) {
        mStatus = head.status();
        mFraming = head.framing();
        recordCold(head.facts().coldRemainingMillis());
        boolean success = head.status() < MIN_FAILURE_STATUS;
        if (head.facts().notRun() && !success) {
            mReportedNotRun = true;
            return;
        }
        if (success && !head.facts().hasSignature()) {
            rejectResponse("the success response has no signature");
        } else if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            rejectResponse("the response has a Content-Encoding, which is not supported");
        } else {
            rejectUnlessAccepted(
                    mCall.relay().onHead(head.status(), head.reason(), head.headers()));
        }
    }

    private void recordCold(long remainingMillis) {
        if (mCall.dependencies().coldTargetRule().recordResponse(target(), remainingMillis)) {
            mCall.logEntry().logTargetCold(target(), remainingMillis);
        }
    }

    private void rejectUnlessAccepted(Acceptance acceptance) {
        if (acceptance != Acceptance.ACCEPTED) {
            rejectResponse(acceptance.reason() + ", status " + mStatus);
        }
    }

    private void rejectResponse(String reason) {
        mExchange.cancel();
        onFailure(ResponseFailure.INVALID_RESPONSE, reason);
    }

    @Override
    public void onBody(byte[] bytes) {
        if (mEnded || mReportedNotRun) {
            return;
        }
        if (mWork != null) {
            mWork.recordAnswerBegun();
        }
        rejectUnlessAccepted(mCall.relay().onBody(bytes, now()));
        if (!mEnded && !mCall.isEnded()) {
            mCall.onWritabilityChanged();
        }
    }

    @Override
    public void onEnd() {
        if (mEnded) {
            return;
        }
        if (mReportedNotRun) {
            mEnded = true;
            endWork(Outcome.INCONCLUSIVE);
            mPool.load().recordRejection(now(), mCall.rejectionBackoffMillis());
            mCall.onAttemptFailed(
                    this,
                    Delivery.NOT_RUN,
                    "the target rejected the request with status " + mStatus,
                    false);
            return;
        }
        if (!mCall.relay().endBody()) {
            onFailure(
                    mFraming.keepsConnection()
                            ? ResponseFailure.INVALID_RESPONSE
                            : ResponseFailure.CONNECTION_LOST,
                    "the stream ended inside an event");
        } else if (mFraming.keepsConnection()) {
            complete();
        } else {
            // The end of a process ends its connections in the same way as its responses, also
            // that of a target that leaves as planned.
            TargetState state = mCall.targetState(target());
            mPool.checkProcess(process -> onEndOfUnframedChecked(state, process));
        }
    }

    private void onEndOfUnframedChecked(TargetState state, ProcessState process) {
        if (mEnded) {
            return;
        }
        if (process == ProcessState.RUNNING) {
            complete();
            return;
        }
        mEnded = true;
        endWork(Outcome.FAILED);
        mPool.load().recordFailure(now(), mCall.failureBackoffMillis());
        mCall.relay().discardBuffered();
        String reason =
                "the response ended with its connection, and the target's process is "
                        + process.logName();
        onProcessChecked(state, process, reason);
    }

    private void complete() {
        mEnded = true;
        endWork(Outcome.ANSWERED);
        mPool.load().recordSuccess(now() - mSentMillis);
        mCall.onWholeResponse(this);
    }

    @Override
    public void onFailure(ResponseFailure failure, String reason) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        endWork(Outcome.FAILED);
        mPool.load().recordFailure(now(), mCall.failureBackoffMillis());
        if (mReportedNotRun) {
            // The response head suffices as proof that the request has not run.
            mCall.onAttemptFailed(this, Delivery.NOT_RUN, reason, false);
            return;
        }
        mCall.relay().discardBuffered();
        if (failure == ResponseFailure.CONNECTION_LOST) {
            TargetState state = mCall.targetState(target());
            mPool.checkProcess(process -> onProcessChecked(state, process, reason));
        } else {
            mCall.onAttemptFailed(this, Delivery.MAY_HAVE_RUN, reason, false);
        }
    }

    /**
     * Reports the failed attempt.
     *
     * @param state state of the target when the connection ended
     * @param process state of its process after that
     * @param reason cause of the failure
     */
    private void onProcessChecked(TargetState state, ProcessState process, String reason) {
        boolean ended = process.hasEnded(state);
        if (ended) {
            mPool.load().recordEnd(now(), ENDED_TARGET_MILLIS);
        }
        if (ended && state.acceptsRequests()) {
            mCall.onTargetCrashed(this, reason);
        } else {
            // The end of a target that leaves as planned is no crash.
            mCall.onAttemptFailed(this, Delivery.MAY_HAVE_RUN, reason, ended);
        }
    }

    private void endWork(Outcome outcome) {
        if (mWork != null) {
            mWork.end(outcome, now());
        }
    }

    private long now() {
        return mCall.dependencies().ticker().readMillis();
    }
}
