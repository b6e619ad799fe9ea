package org.heathercourse.gateway.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.heathercourse.core.attempt.Delivery;
import org.heathercourse.core.target.Target;
import org.heathercourse.gateway.target.Exchange;
import org.heathercourse.gateway.target.ResponseListener;
import org.heathercourse.gateway.target.TargetPool;
import org.heathercourse.platform.entry.AnswerFacts;

/**
 * One attempt of a call at one target. Knows whether a byte of the request can have reached it.
 * Confined to the traffic loop.
 */
final class Attempt implements TargetPool.AcquireListener, ResponseListener {
    private static final int FIRST_FAILURE_STATUS = 300;

    private final Call mCall;
    private final TargetPool mPool;
    private Exchange mExchange;
    private long mSentMillis;
    private int mStatus;
    private boolean mRefused;
    private boolean mEnded;

    Attempt(Call call, TargetPool pool) {
        mCall = call;
        mPool = pool;
    }

    Target target() {
        return mPool.target();
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
    public void onUnavailable(String reason, boolean refused) {
        notSent(reason, refused);
    }

    /** Notes that the request goes out now. */
    void sent(Exchange exchange) {
        mExchange = exchange;
        mSentMillis = now();
    }

    /** Ends the attempt before a byte of the request has left. */
    void notSent(String reason, boolean targetGone) {
        if (!mEnded) {
            mEnded = true;
            mPool.load().recordFailure(now(), mCall.failedAvoidMillis());
            mCall.failed(this, Delivery.NOT_SENT, reason, targetGone);
        }
    }

    /** Ends the attempt without an outcome, because the call has ended. */
    void cancel() {
        if (!mEnded) {
            mEnded = true;
            mPool.load().recordInconclusive();
            if (mExchange != null) {
                mExchange.cancel();
            }
        }
    }

    void reading(boolean enabled) {
        if (mExchange != null && !mEnded) {
            mExchange.setAutoRead(enabled);
        }
    }

    // Answer

    @Override
    public void onHead(int status, String reason, HttpHeaders headers, AnswerFacts facts) {
        mStatus = status;
        if (facts.notRun()) {
            mRefused = true;
            return;
        }
        boolean success = status < FIRST_FAILURE_STATUS;
        if (success && !facts.hasSignature()) {
            discard("the success bears no signature");
        } else if (headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
            discard("the body is encoded");
        } else if (!mCall.relay().head(status, reason, headers)) {
            discard("the stream cannot go on with status " + status);
        }
    }

    private void discard(String reason) {
        mExchange.cancel();
        onFailure(reason);
    }

    @Override
    public void onBody(byte[] bytes) {
        if (!mEnded && !mRefused) {
            mCall.relay().body(bytes, now());
            if (!mCall.done()) {
                mCall.writabilityChanged();
            }
        }
    }

    @Override
    public void onEnd() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        if (mRefused) {
            mPool.load().recordRejection(now(), mCall.fullAvoidMillis());
            mCall.failed(this, Delivery.NOT_RUN, "the target refused with " + mStatus, false);
            return;
        }
        mPool.load().recordSuccess(now() - mSentMillis);
        mCall.relay().end(now());
        mCall.answered(this, mStatus);
    }

    @Override
    public void onFailure(String reason) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mPool.load().recordFailure(now(), mCall.failedAvoidMillis());
        if (mRefused) {
            // The head alone says that the request has not run.
            mCall.failed(this, Delivery.NOT_RUN, reason, false);
            return;
        }
        mCall.relay().broken();
        mCall.failed(this, Delivery.MAY_HAVE_RUN, reason, false);
    }

    private long now() {
        return mCall.dependencies().ticker().readMillis();
    }
}
