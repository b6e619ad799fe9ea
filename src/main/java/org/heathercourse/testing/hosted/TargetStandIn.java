package org.heathercourse.testing.hosted;

import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.heathercourse.core.time.Ticker;

/**
 * A target on a loopback port that answers with event streams or short bodies and can inject
 * faults. Open from construction until {@link #close()}. Thread-safe.
 *
 * <p>Parameters in the query of a request's URI set how long it takes: {@code event_interval_ms}
 * between the events of a stream, {@code answer_delay_ms} before a short body, and {@code
 * body_bytes}, the minimum size of that body.
 */
public final class TargetStandIn implements AutoCloseable {
    /** A fault to inject into one request. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** Responds with status 503 and marks the request as not executed. */
        REFUSE,
        /** Responds with status 421, as a target that has another version than the expected one. */
        WRONG_VERSION,
        /** Writes the last refusal of the connection once more, and executes the request. */
        REPEAT_REFUSAL,
        /** Writes a refusal without a request id, and executes the request. */
        REFUSAL_WITHOUT_ID,
        /** Executes the request and closes the connection without an answer. */
        LOSE_ANSWER,
        /** Closes the connection within the third event of a stream. */
        BREAK_STREAM,
        /** Resets the connection of a stream after its second event. */
        RESET_STREAM,
        /** Ends its process after the second event of a stream, or within another body. */
        CRASH_IN_BODY,
        /** Sends a stream from its first event, although it is to be resumed. */
        RESTART_STREAM,
        /** Leaves out an event at the start of a resumed stream. */
        SKIP_EVENT,
        /** Sends events without ids and breaks off the stream within the third one. */
        BREAK_STREAM_WITHOUT_IDS,
        /** Responds with status 204. */
        NO_CONTENT,
        /** Responds with status 200 and a body that is not a stream. */
        OTHER_BODY,
        /** Sends a body that is shorter than its content length. */
        SHORT_BODY,
        /** Closes the connection within the head of a success response. */
        CUT_HEAD,
        /** Sends the answer to an earlier request after its own answer. */
        EXTRA_ANSWER,
        /** Responds with status 200 but without the response signature. */
        UNSIGNED,
        /** Responds with a signed status 500, as an application error. */
        FAIL,
        /** Responds with the status line of {@link #setInvalidStatus} and a signed body. */
        INVALID_STATUS,
        /** Never responds. */
        HANG,
        /** Sends a large part of an event, and nothing more. */
        STALLED_EVENT,
        /** Sends an event without end, until the gateway closes the connection. */
        ENDLESS_EVENT,
        /** Sends events without end. */
        ENDLESS_EVENTS,
        /** Sends informational responses without end. */
        ENDLESS_INFORMATIONAL_RESPONSES,
        /** Sends a response to another request, whose body has no end. */
        ENDLESS_EXTRA_ANSWER,
        /** Sends a header without end. */
        ENDLESS_HEADER
    }

    /** Number of events in a stream. */
    public static final int EVENT_COUNT = 5;

    private static final long CRASH_DOWN_MILLIS = 300;
    static final String REQUEST_ID_HEADER = "X-Heathercourse-Request-Id";

    private final String mId;
    private final StandInServer mServer;
    private final Queue<Fault> mFaults = new ConcurrentLinkedQueue<>();
    private final List<ReceivedRequest> mReceivedRequests = new CopyOnWriteArrayList<>();
    private final Map<String, Long> mWorkEndMillis = new ConcurrentHashMap<>();
    private final Ticker mTicker = Ticker.system();
    private final AtomicInteger mCancelledCount = new AtomicInteger();
    private volatile long mEventIntervalMillis;
    private volatile String mEventFormat = "data: token %d\n";
    private volatile boolean mUnframed;
    private volatile boolean mLeaving;
    private volatile String mCrashText;
    private volatile Runnable mOnRestart = () -> {};
    private volatile int mStarts = 1;
    private volatile SecondAnswers mSecondAnswers;
    private volatile String mInvalidHeadStart = "";

    /**
     * A received request.
     *
     * @param method HTTP method
     * @param uri URI of the request line
     * @param headers HTTP headers
     * @param body body as text
     * @param bodyBytes body byte for byte; must not be modified
     * @param executed whether the target executed it
     */
    public record ReceivedRequest(
            String method,
            String uri,
            HttpHeaders headers,
            String body,
            byte[] bodyBytes,
            boolean executed) {
        /** Returns the identity of the request. */
        public String id() {
            return headers.get(REQUEST_ID_HEADER);
        }
    }

    /**
     * Opens a target on a free port.
     *
     * @param id identity of the target
     */
    public TargetStandIn(String id) {
        mId = id;
        mServer = new StandInServer("target-stand-in", this::newConnection);
    }

    private ChannelHandler newConnection() {
        SecondAnswers secondAnswers = mSecondAnswers;
        return secondAnswers == null
                ? new TargetStandInConnection(this)
                : new SecondAnswerConnection(secondAnswers);
    }

    /**
     * Makes the target answer requests twice on the connections that are opened from now on,
     * without faults and without records of its own.
     *
     * @param secondAnswers decides on the answers and records them
     */
    public void answerTwice(SecondAnswers secondAnswers) {
        mSecondAnswers = secondAnswers;
    }

    /** Returns the identity of the target. */
    public String id() {
        return mId;
    }

    /** Returns host and port. */
    public String address() {
        return "127.0.0.1:" + mServer.port();
    }

    /** Returns the JSON of the row that registers the target in the store. */
    public String row(String service, String zone, String state) {
        return String.format(
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                        + "\"slots\":4,\"state\":\"%s\",\"sequence\":1,\"born\":%d}",
                service, address(), zone, state, mStarts);
    }

    /** Enqueues faults; each of the next requests consumes one. */
    public void enqueueFaults(Fault... faults) {
        mFaults.addAll(List.of(faults));
    }

    /** Removes the enqueued faults. */
    public void clearFaults() {
        mFaults.clear();
    }

    /** Sets the time between the events of a stream in milliseconds. */
    public void setEventIntervalMillis(long millis) {
        mEventIntervalMillis = millis;
    }

    /**
     * Sets the lines of an event after its id, each with its line end.
     *
     * @param format format of {@link String#format} with the number of the event
     */
    public void setEventFormat(String format) {
        mEventFormat = format;
    }

    /**
     * Sets whether success responses have neither a length nor chunks and end with their
     * connection.
     */
    public void setUnframed(boolean unframed) {
        mUnframed = unframed;
    }

    /**
     * Sets the head of responses with {@link Fault#INVALID_STATUS}.
     *
     * @param informational status lines of informational responses before it, each with its line
     *     ends; may be empty
     * @param status status and reason phrase
     */
    public void setInvalidStatus(String informational, String status) {
        mInvalidHeadStart = informational + "HTTP/1.1 " + status + "\r\n";
    }

    String invalidHeadStart() {
        return mInvalidHeadStart;
    }

    /** Sets whether the target says in all its responses that it leaves. */
    public void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    boolean isLeaving() {
        return mLeaving;
    }

    /**
     * Makes the target crash at each request whose body contains a text.
     *
     * @param text the text
     * @param onRestart called when the target is back, as a new incarnation
     */
    public void crashOn(String text, Runnable onRestart) {
        mOnRestart = onRestart;
        mCrashText = text;
    }

    /**
     * Ends all connections and the port; the target is back as a new incarnation a little later.
     */
    public void crash() {
        mServer.crash(
                CRASH_DOWN_MILLIS,
                () -> {
                    mStarts++;
                    mOnRestart.run();
                });
    }

    /** Returns the number of starts. */
    public int startCount() {
        return mStarts;
    }

    /** Returns all received requests in order of arrival. */
    public List<ReceivedRequest> receivedRequests() {
        return mReceivedRequests;
    }

    /** Returns the received requests that were executed. */
    public List<ReceivedRequest> executedRequests() {
        return mReceivedRequests.stream().filter(ReceivedRequest::executed).toList();
    }

    /**
     * Returns when the target finished its work on a request, even if nobody read the answer.
     *
     * @param requestId identity of the request
     * @return time of {@link Ticker#system} in milliseconds; empty while the target works on it
     */
    public OptionalLong workEndMillis(String requestId) {
        Long millis = mWorkEndMillis.get(requestId);
        return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
    }

    /** Returns the number of connections that closed while a request was executed. */
    public int cancelledCount() {
        return mCancelledCount.get();
    }

    @Override
    public void close() {
        mServer.close();
    }

    // Use by the connections

    Fault nextFault() {
        return mFaults.isEmpty() ? Fault.NONE : mFaults.remove();
    }

    void record(ReceivedRequest request) {
        mReceivedRequests.add(request);
    }

    boolean crashesOn(String body) {
        String crashText = mCrashText;
        return crashText != null && body.contains(crashText);
    }

    void recordWorkEnd(String requestId) {
        mWorkEndMillis.merge(requestId, mTicker.readMillis(), Math::max);
    }

    void recordCancelled() {
        mCancelledCount.incrementAndGet();
    }

    boolean isUnframed() {
        return mUnframed;
    }

    String eventLines(int number) {
        return String.format(mEventFormat, number);
    }

    long eventIntervalMillis() {
        return mEventIntervalMillis;
    }
}
