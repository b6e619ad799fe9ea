package org.heathercourse.gateway.call;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.core.routing.Route;
import org.heathercourse.core.routing.RouteKind;
import org.heathercourse.core.stream.EventSkipper;
import org.heathercourse.core.stream.EventSplitter;

/**
 * Forwards the responses of targets to the caller, as one response over all attempts.
 *
 * <p>A stream is forwarded event by event, and a later attempt continues it. Any other response is
 * buffered until it is complete, up to a maximum size, so that another attempt can replace an
 * incomplete one without the caller noticing. Confined to the traffic loop.
 */
final class ResponseRelay {
    /** Maximum size of a buffered body in bytes; larger ones are forwarded as they arrive. */
    private static final int MAX_BUFFERED_BYTES = 128 * 1024;

    private static final int MIN_FAILURE_STATUS = 300;
    private static final String EVENT_STREAM_TYPE = "text/event-stream";

    private final ResponseWriter mWriter;
    private final Route mRoute;
    private final EventSplitter mSplitter = new EventSplitter();
    private final MemoryBudget.Reservation mMemory;
    private final TurnOutput mOutput;

    /** Drops what the caller already has; null if it has nothing. */
    private final EventSkipper mSkipper;

    private ByteArrayOutputStream mBuffer = new ByteArrayOutputStream();
    private int mStatus;
    private String mReason = "";
    private HttpHeaders mHeaders = new DefaultHttpHeaders();
    private boolean mStreaming;
    private boolean mStarted;
    private long mFirstByteMillis = -1;

    /**
     * Creates a relay.
     *
     * @param writer receives the response to the caller
     * @param route route of the call
     * @param memory budget for the bytes that are not forwarded yet
     * @param turn collects the data of all events, of which the caller may already have the first;
     *     null if the response is not kept
     */
    ResponseRelay(ResponseWriter writer, Route route, MemoryBudget memory, RetainedTurn turn) {
        mWriter = writer;
        mRoute = route;
        mMemory = memory.reserveNothing();
        mOutput = turn == null ? null : turn.output();
        String lastReadId = turn == null ? null : turn.lastReadEventId();
        mSkipper = lastReadId == null ? null : new EventSkipper(lastReadId);
    }

    /**
     * Accepts the head of an attempt's response. Once a part of a response was taken, only a stream
     * with the same status can go on in it.
     */
    Acceptance onHead(int status, String reason, HttpHeaders headers) {
        if (hasBegun()) {
            mSplitter.expectContinuation();
            return mStreaming && status == mStatus && isEventStream(headers)
                    ? Acceptance.ACCEPTED
                    : Acceptance.NOT_A_CONTINUATION;
        }
        mStatus = status;
        mReason = reason;
        mHeaders = new DefaultHttpHeaders();
        mHeaders.set(headers);
        HopByHopHeaders.remove(mHeaders);
        mStreaming =
                mRoute.kind() == RouteKind.STREAMING
                        && status < MIN_FAILURE_STATUS
                        && isEventStream(headers);
        return Acceptance.ACCEPTED;
    }

    /** Returns whether the body consists of events; targets may omit its type. */
    private static boolean isEventStream(HttpHeaders headers) {
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE);
        return type == null
                || type.regionMatches(true, 0, EVENT_STREAM_TYPE, 0, EVENT_STREAM_TYPE.length());
    }

    /** Forwards or buffers the next part of the body. */
    Acceptance onBody(byte[] bytes, long nowMillis) {
        if (mStreaming) {
            return onEvents(bytes, nowMillis);
        }
        if (mStarted) {
            mWriter.write(bytes);
            return Acceptance.ACCEPTED;
        }
        mBuffer.writeBytes(bytes);
        if (mBuffer.size() > MAX_BUFFERED_BYTES || !mMemory.resize(mBuffer.size())) {
            forward(mBuffer.toByteArray(), nowMillis);
            clearBuffer();
        }
        return Acceptance.ACCEPTED;
    }

    private Acceptance onEvents(byte[] bytes, long nowMillis) {
        byte[] completeEvents = mSplitter.add(bytes);
        if (completeEvents.length > 0) {
            if (!collect(completeEvents)) {
                return Acceptance.OUTPUT_LOST;
            }
            forwardNew(completeEvents, nowMillis);
        }
        if (mSplitter.isMisplaced()) {
            return Acceptance.MISPLACED_EVENT;
        }
        if (mSplitter.exceedsMaxEventSize()) {
            return Acceptance.EVENT_TOO_LARGE;
        }
        return mMemory.resize(mSplitter.incompleteBytes())
                ? Acceptance.ACCEPTED
                : Acceptance.OUT_OF_MEMORY;
    }

    /** Collects the output of a turn; returns false if it cannot be kept. */
    private boolean collect(byte[] events) {
        return mOutput == null || mOutput.add(events);
    }

    private void clearBuffer() {
        mBuffer = new ByteArrayOutputStream();
        mMemory.release();
    }

    /** Gives up the memory of the relay; it receives nothing more. */
    void release() {
        mSplitter.discardIncomplete();
        clearBuffer();
    }

    /** Forwards the events that the caller lacks. */
    private void forwardNew(byte[] events, long nowMillis) {
        byte[] newEvents = mSkipper == null ? events : mSkipper.add(events);
        if (newEvents.length > 0) {
            forward(newEvents, nowMillis);
        }
    }

    /**
     * Returns whether the response has gone on beyond the events that the caller already has.
     * Responses other than streams have no such events.
     */
    boolean hasReachedNewEvents() {
        return !mStreaming || mSkipper == null || mSkipper.hasFound();
    }

    private void forward(byte[] bytes, long nowMillis) {
        if (!mStarted) {
            mStarted = true;
            mFirstByteMillis = nowMillis;
            mWriter.begin(mStatus, mReason, mHeaders, ResponseWriter.UNKNOWN_LENGTH);
        }
        mWriter.write(bytes);
    }

    /** Ends the body of the attempt; returns whether it may be complete. */
    boolean endBody() {
        return !mStreaming || mSplitter.endInput();
    }

    /**
     * Forwards what is left of a stream and leaves the caller's response open. A response that has
     * not begun is kept back whole, because its length would show its end.
     *
     * @return false if the output of the turn cannot be kept
     */
    boolean forwardRest() {
        if (!mStreaming) {
            return true;
        }
        byte[] rest = mSplitter.drainIncomplete();
        if (mStarted) {
            mWriter.write(rest);
        } else {
            mBuffer.writeBytes(rest);
        }
        return collect(rest);
    }

    /** Forwards what is left of the body and ends the caller's response. */
    void onEnd(long nowMillis) {
        if (mStreaming) {
            mBuffer.writeBytes(mSplitter.drainIncomplete());
        }
        byte[] remaining = mBuffer.toByteArray();
        if (mStarted) {
            if (remaining.length > 0) {
                mWriter.write(remaining);
            }
        } else {
            mStarted = true;
            mFirstByteMillis = nowMillis;
            mWriter.begin(mStatus, mReason, mHeaders, remaining.length);
            mWriter.write(remaining);
        }
        mWriter.end();
    }

    /** Discards data that was not forwarded, because the attempt has failed. */
    void discardBuffered() {
        mSplitter.discardIncomplete();
        clearBuffer();
    }

    /** Returns whether a part of the response was sent to the caller. */
    boolean isStarted() {
        return mStarted;
    }

    /** Returns whether a part of a response was taken, forwarded or not. */
    private boolean hasBegun() {
        return mStarted || mSplitter.eventCount() > 0;
    }

    /** Returns whether another attempt can still lead to a complete response. */
    boolean canBeContinued() {
        if (mOutput != null && mOutput.isLost()) {
            return false;
        }
        return !hasBegun() || mStreaming && mSplitter.canBeContinued();
    }

    /** Returns the id of the last event that was taken, or null. */
    String lastEventId() {
        return mStreaming && hasBegun() ? mSplitter.lastEventId() : null;
    }

    /** Returns the number of events that were taken, forwarded or not. */
    long eventCount() {
        return mSplitter.eventCount();
    }

    /** Returns the HTTP status of the response. */
    int status() {
        return mStatus;
    }

    /** Returns the time from the call's arrival to the first byte of its response. */
    long firstByteMillis(long arrivedMillis, long nowMillis) {
        return (mFirstByteMillis < 0 ? nowMillis : mFirstByteMillis) - arrivedMillis;
    }
}
