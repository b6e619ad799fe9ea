package org.heathercourse.gateway.call;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import org.heathercourse.core.routing.Route;
import org.heathercourse.core.routing.RouteKind;
import org.heathercourse.core.stream.EventSplitter;

/**
 * Passes answers of targets on to the caller.
 *
 * <p>Streams are passed on in whole events as they come, also over several attempts. Other answers
 * are held until they are whole, up to a size, so that a broken one can be replaced by another
 * attempt without the caller seeing it. Confined to the traffic loop.
 */
final class ResponseRelay {
    /** Largest answer that is held, in bytes; longer ones are passed on as they come. */
    private static final int MAX_HELD_BYTES = 128 * 1024;

    private static final int FIRST_FAILURE_STATUS = 300;

    private final ResponseWriter mCaller;
    private final Route mRoute;
    private final EventSplitter mSplitter = new EventSplitter();
    private final ByteArrayOutputStream mHeld = new ByteArrayOutputStream();
    private int mStatus;
    private String mReason = "";
    private HttpHeaders mHeaders = new DefaultHttpHeaders();
    private boolean mStreaming;
    private boolean mBegun;
    private long mFirstByteMillis = -1;

    ResponseRelay(ResponseWriter caller, Route route) {
        mCaller = caller;
        mRoute = route;
    }

    /**
     * Takes the head of an attempt's answer.
     *
     * @return whether the answer can be passed on; after the first event only a success can
     */
    boolean head(int status, String reason, HttpHeaders headers) {
        if (mBegun) {
            return mStreaming && status < FIRST_FAILURE_STATUS;
        }
        mStatus = status;
        mReason = reason;
        mHeaders = new DefaultHttpHeaders();
        mHeaders.set(headers);
        HopHeaders.remove(mHeaders);
        mStreaming = mRoute.kind() == RouteKind.STREAMING && status < FIRST_FAILURE_STATUS;
        return true;
    }

    /** Takes a part of the body. */
    void body(byte[] bytes, long nowMillis) {
        if (mStreaming) {
            byte[] whole = mSplitter.add(bytes);
            if (whole.length > 0) {
                pass(whole, nowMillis);
            }
            return;
        }
        if (mBegun) {
            mCaller.write(bytes);
            return;
        }
        mHeld.writeBytes(bytes);
        if (mHeld.size() > MAX_HELD_BYTES) {
            pass(mHeld.toByteArray(), nowMillis);
            mHeld.reset();
        }
    }

    private void pass(byte[] bytes, long nowMillis) {
        if (!mBegun) {
            mBegun = true;
            mFirstByteMillis = nowMillis;
            mCaller.begin(mStatus, mReason, mHeaders, ResponseWriter.UNKNOWN_LENGTH);
        }
        mCaller.write(bytes);
    }

    /** Ends the answer. */
    void end(long nowMillis) {
        byte[] rest = mStreaming ? mSplitter.drainIncomplete() : mHeld.toByteArray();
        if (mBegun) {
            if (rest.length > 0) {
                mCaller.write(rest);
            }
        } else {
            mBegun = true;
            mFirstByteMillis = nowMillis;
            mCaller.begin(mStatus, mReason, mHeaders, rest.length);
            mCaller.write(rest);
        }
        mCaller.end();
    }

    /** Drops what was not passed on, because the attempt has failed. */
    void broken() {
        mSplitter.discardIncomplete();
        if (!mBegun) {
            mHeld.reset();
        }
    }

    /** Returns whether the caller has got a part of the answer. */
    boolean begun() {
        return mBegun;
    }

    /** Returns the identity of the last event that was passed on, or null. */
    String lastEventId() {
        return mStreaming && mBegun ? mSplitter.lastEventId() : null;
    }

    /** Returns the events that were passed on. */
    long events() {
        return mSplitter.eventCount();
    }

    /** Returns the status that was passed on. */
    int status() {
        return mStatus;
    }

    long firstByteMillis(long arrivedMillis, long nowMillis) {
        return (mFirstByteMillis < 0 ? nowMillis : mFirstByteMillis) - arrivedMillis;
    }
}
