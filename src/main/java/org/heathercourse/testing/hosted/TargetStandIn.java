package org.heathercourse.testing.hosted;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
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
        /** Executes the request and closes the connection without an answer. */
        LOSE_ANSWER,
        /** Closes the connection within the third event of a stream. */
        BREAK_STREAM,
        /** Sends a body that is shorter than its content length. */
        SHORT_BODY,
        /** Sends the answer to an earlier request after its own answer. */
        EXTRA_ANSWER,
        /** Responds with status 200 but without the response signature. */
        UNSIGNED,
        /** Responds with a signed status 500, as an application error. */
        FAIL,
        /** Never responds. */
        HANG,
        /** Sends an event without end, until the gateway closes the connection. */
        ENDLESS_EVENT,
        /** Sends informational responses without end. */
        ENDLESS_INFORMATIONAL_RESPONSES,
        /** Sends a response to another request, whose body has no end. */
        ENDLESS_EXTRA_ANSWER,
        /** Sends a header without end. */
        ENDLESS_HEADER
    }

    /** Number of events in a stream. */
    public static final int EVENT_COUNT = 5;

    private static final int EVENTS_BEFORE_BREAK = 2;
    private static final long CRASH_DOWN_MILLIS = 300;
    private static final String SIGNATURE_HEADER = "X-Heathercourse-Response-Signature";
    private static final String REQUEST_ID_HEADER = "X-Heathercourse-Request-Id";
    private static final int FLOOD_REPETITIONS = 1_000;

    /** Start of the head of a response to another request. */
    private static final String EXTRA_HEAD =
            "HTTP/1.1 200 OK\r\n"
                    + REQUEST_ID_HEADER
                    + ": earlier\r\n"
                    + SIGNATURE_HEADER
                    + ": sig-earlier\r\n";

    private final String mId;
    private final StandInServer mServer;
    private final Queue<Fault> mFaults = new ConcurrentLinkedQueue<>();
    private final List<ReceivedRequest> mReceivedRequests = new CopyOnWriteArrayList<>();
    private final Map<String, Long> mWorkEndMillis = new ConcurrentHashMap<>();
    private final Ticker mTicker = Ticker.system();
    private final AtomicInteger mCancelledCount = new AtomicInteger();
    private volatile long mEventIntervalMillis;
    private volatile String mCrashText;
    private volatile Runnable mOnRestart = () -> {};
    private volatile int mStarts = 1;

    /**
     * A received request.
     *
     * @param method HTTP method
     * @param uri URI of the request line
     * @param headers HTTP headers
     * @param body body as text
     * @param executed whether the target executed it
     */
    public record ReceivedRequest(
            String method, String uri, HttpHeaders headers, String body, boolean executed) {
        /** Returns the identity of the request. */
        public String id() {
            return headers.get(REQUEST_ID_HEADER);
        }
    }

    /**
     * A stream that the target sends.
     *
     * @param requestId identity of its request
     * @param intervalMillis time between two events in milliseconds
     * @param fault fault of its request
     */
    private record Stream(String requestId, long intervalMillis, Fault fault) {}

    /**
     * Opens a target on a free port.
     *
     * @param id identity of the target
     */
    public TargetStandIn(String id) {
        mId = id;
        mServer = new StandInServer("target-stand-in", Handler::new);
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

    /** Handles one connection of a gateway. Confined to its event loop. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean mRunning;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Fault fault = mFaults.isEmpty() ? Fault.NONE : mFaults.remove();
            String expected = request.headers().get("X-Heathercourse-Expected-Instance");
            boolean misdirected = expected != null && !expected.equals(mId);
            boolean executed = fault != Fault.REFUSE && !misdirected;
            mReceivedRequests.add(
                    new ReceivedRequest(
                            request.method().name(),
                            request.uri(),
                            request.headers().copy(),
                            request.content().toString(StandardCharsets.UTF_8),
                            executed));
            if (misdirected) {
                answer(context, 421, "", false, request);
                return;
            }
            mRunning = true;
            String crashText = mCrashText;
            if (crashText != null
                    && request.content().toString(StandardCharsets.UTF_8).contains(crashText)) {
                crash();
                return;
            }
            execute(context, request, fault);
        }

        private void execute(ChannelHandlerContext context, FullHttpRequest request, Fault fault) {
            switch (fault) {
                case REFUSE -> answer(context, 503, "", false, request);
                case LOSE_ANSWER -> {
                    mRunning = false;
                    context.close();
                }
                case SHORT_BODY -> sendShortBody(context, request);
                case UNSIGNED -> answer(context, 200, "unsigned", false, request);
                case FAIL -> answer(context, 500, "failed", true, request);
                case HANG -> {}
                case ENDLESS_EVENT -> {
                    sendStreamHead(context, request);
                    flood(context, "400000\r\ndata: ", "x");
                }
                case ENDLESS_INFORMATIONAL_RESPONSES ->
                        flood(context, "", "HTTP/1.1 102 Processing\r\n\r\n");
                case ENDLESS_EXTRA_ANSWER ->
                        flood(context, EXTRA_HEAD + "Content-Length: 100000000\r\n\r\n", "x");
                case ENDLESS_HEADER -> flood(context, "HTTP/1.1 200 OK\r\nX-Filler: ", "x");
                default -> {
                    if (request.uri().contains("stream")) {
                        startStream(context, request, fault);
                    } else {
                        scheduleAnswer(context, request, fault);
                    }
                }
            }
        }

        private void scheduleAnswer(
                ChannelHandlerContext context, FullHttpRequest request, Fault fault) {
            long delayMillis = queryNumber(request, "answer_delay_ms", 0);
            if (delayMillis == 0) {
                answerShortly(context, request, fault);
                return;
            }
            // Only the URI and the headers are read later, which outlive the released body.
            context.executor()
                    .schedule(
                            () -> answerShortly(context, request, fault),
                            delayMillis,
                            TimeUnit.MILLISECONDS);
        }

        private void answerShortly(
                ChannelHandlerContext context, FullHttpRequest request, Fault fault) {
            String text = "answer to " + requestId(request);
            long fillerBytes = queryNumber(request, "body_bytes", 0) - text.length();
            recordWorkEnd(requestId(request));
            answer(context, 200, text + " ".repeat((int) Math.max(0, fillerBytes)), true, request);
            if (fault == Fault.EXTRA_ANSWER) {
                sendExtraAnswer(context);
            }
        }

        private long queryNumber(FullHttpRequest request, String parameter, long defaultNumber) {
            List<String> values = new QueryStringDecoder(request.uri()).parameters().get(parameter);
            return values == null ? defaultNumber : Long.parseLong(values.get(0));
        }

        private void recordWorkEnd(String requestId) {
            mWorkEndMillis.merge(requestId, mTicker.readMillis(), Math::max);
        }

        private void answer(
                ChannelHandlerContext context,
                int status,
                String body,
                boolean signed,
                FullHttpRequest request) {
            mRunning = false;
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(REQUEST_ID_HEADER, requestId(request))
                    .set("Keep-Alive", "timeout=10");
            if (signed) {
                response.headers().set(SIGNATURE_HEADER, "sig-" + requestId(request));
            }
            if (status == 503 || status == 421) {
                response.headers().set("X-Heathercourse-Not-Executed", "1");
            }
            context.writeAndFlush(response);
        }

        private void sendExtraAnswer(ChannelHandlerContext context) {
            writeRaw(context, EXTRA_HEAD + "Content-Length: 5\r\n\r\nother");
        }

        /** Writes bytes past the HTTP codec, which allows one response for each request. */
        private ChannelFuture writeRaw(ChannelHandlerContext context, String text) {
            return context.pipeline()
                    .firstContext()
                    .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }

        /** Writes a text, and then another one again and again until the connection closes. */
        private void flood(ChannelHandlerContext context, String start, String repeated) {
            writeRaw(context, start)
                    .addListener(
                            done -> {
                                if (done.isSuccess()) {
                                    flood(context, repeated.repeat(FLOOD_REPETITIONS), repeated);
                                }
                            });
        }

        private void sendShortBody(ChannelHandlerContext context, FullHttpRequest request) {
            mRunning = false;
            DefaultHttpResponse head = head(request);
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 100);
            context.write(head);
            context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[10])))
                    .addListener(done -> context.close());
        }

        private DefaultHttpResponse head(FullHttpRequest request) {
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers()
                    .set(REQUEST_ID_HEADER, requestId(request))
                    .set(
                            SIGNATURE_HEADER,
                            "sig-" + requestId(request) + "-" + mReceivedRequests.size());
            return head;
        }

        private void startStream(
                ChannelHandlerContext context, FullHttpRequest request, Fault fault) {
            sendStreamHead(context, request);
            String lastEventId = request.headers().get("Last-Event-Id");
            Stream stream =
                    new Stream(
                            requestId(request),
                            queryNumber(request, "event_interval_ms", mEventIntervalMillis),
                            fault);
            int firstNumber = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
            sendEvent(context, firstNumber, stream);
        }

        private void sendStreamHead(ChannelHandlerContext context, FullHttpRequest request) {
            DefaultHttpResponse head = head(request);
            head.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
                    .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            context.writeAndFlush(head);
        }

        private void sendEvent(ChannelHandlerContext context, int number, Stream stream) {
            if (stream.fault() == Fault.BREAK_STREAM && number > EVENTS_BEFORE_BREAK) {
                mRunning = false;
                write(context, "id: " + number + "\nda");
                context.close();
                return;
            }
            if (number > EVENT_COUNT) {
                mRunning = false;
                recordWorkEnd(stream.requestId());
                context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                return;
            }
            write(context, "id: " + number + "\ndata: token " + number + "\n\n");
            if (stream.intervalMillis() == 0) {
                sendEvent(context, number + 1, stream);
            } else {
                context.executor()
                        .schedule(
                                () -> sendEvent(context, number + 1, stream),
                                stream.intervalMillis(),
                                TimeUnit.MILLISECONDS);
            }
        }

        private void write(ChannelHandlerContext context, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }

        private String requestId(FullHttpRequest request) {
            return request.headers().get(REQUEST_ID_HEADER, "none");
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mRunning) {
                mCancelledCount.incrementAndGet();
            }
        }

        /** Closes the connection if it failed: a gateway process that exits resets it. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof IOException) {
                context.close();
            } else {
                context.fireExceptionCaught(cause);
            }
        }
    }
}
