package org.heathercourse.testing.hosted;

import io.netty.buffer.Unpooled;
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
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A target on a loopback port: answers streams of events or short bodies, and fails as it is told.
 */
public final class TargetStandIn implements AutoCloseable {
    /** What the target does with the next request. */
    public enum Fault {
        /** Answers as it should. */
        NONE,
        /** Says that it has no room. */
        REFUSE,
        /** Runs the request and closes the connection. */
        LOSE_ANSWER,
        /** Ends its stream inside the third event. */
        BREAK_STREAM,
        /** Sends less of the body than it announced. */
        SHORT_BODY,
        /** Sends a second answer, of an earlier request, behind its own. */
        EXTRA_ANSWER,
        /** Answers a success without its mark. */
        UNSIGNED,
        /** Answers as an application that failed. */
        FAIL,
        /** Never answers. */
        HANG
    }

    /** Events in a stream. */
    public static final int EVENTS = 5;

    private static final int BREAK_AFTER = 2;
    private static final String SIGNATURE = "X-Heathercourse-Response-Signature";
    private static final String REQUEST_ID = "X-Heathercourse-Request-Id";

    private final String mId;
    private final StandInServer mServer;
    private final Queue<Fault> mFaults = new ConcurrentLinkedQueue<>();
    private final List<ReceivedRequest> mReceived = new CopyOnWriteArrayList<>();
    private final AtomicInteger mCancelled = new AtomicInteger();
    private volatile long mEventMillis;

    /**
     * A request that came.
     *
     * @param method HTTP method
     * @param uri request target
     * @param headers headers
     * @param body body
     * @param executed whether the target ran it
     */
    public record ReceivedRequest(
            String method, String uri, HttpHeaders headers, String body, boolean executed) {
        /** Returns the identity of the request. */
        public String id() {
            return headers.get(REQUEST_ID);
        }
    }

    /**
     * Starts a target.
     *
     * @param id its identity
     */
    public TargetStandIn(String id) {
        mId = id;
        mServer = new StandInServer("target-stand-in", Handler::new);
    }

    /** Returns the identity. */
    public String id() {
        return mId;
    }

    /** Returns the address. */
    public String address() {
        return "127.0.0.1:" + mServer.port();
    }

    /** Returns the row by which the target makes itself known. */
    public String row(String service, String zone, String state) {
        return String.format(
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                        + "\"slots\":4,\"state\":\"%s\",\"sequence\":1,\"born\":1}",
                service, address(), zone, state);
    }

    /** Lets the next requests fail, one fault each. */
    public void enqueueFaults(Fault... faults) {
        mFaults.addAll(List.of(faults));
    }

    /** Takes back the faults that have not come yet. */
    public void clearFaults() {
        mFaults.clear();
    }

    /** Sets the pause between events in milliseconds. */
    public void setEventIntervalMillis(long millis) {
        mEventMillis = millis;
    }

    /** Returns the requests that came. */
    public List<ReceivedRequest> receivedRequests() {
        return mReceived;
    }

    /** Returns the requests that ran. */
    public List<ReceivedRequest> executedRequests() {
        return mReceived.stream().filter(ReceivedRequest::executed).toList();
    }

    /** Returns how many connections were closed while a request ran. */
    public int cancelledCount() {
        return mCancelled.get();
    }

    @Override
    public void close() {
        mServer.close();
    }

    /** A connection of a gateway. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean mRunning;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Fault fault = mFaults.isEmpty() ? Fault.NONE : mFaults.remove();
            String expected = request.headers().get("X-Heathercourse-Expected-Instance");
            boolean misdirected = expected != null && !expected.equals(mId);
            boolean ran = fault != Fault.REFUSE && !misdirected;
            mReceived.add(
                    new ReceivedRequest(
                            request.method().name(),
                            request.uri(),
                            request.headers().copy(),
                            request.content().toString(StandardCharsets.UTF_8),
                            ran));
            if (misdirected) {
                answer(context, 421, "", false, request);
                return;
            }
            mRunning = true;
            run(context, request, fault);
        }

        private void run(ChannelHandlerContext context, FullHttpRequest request, Fault fault) {
            switch (fault) {
                case REFUSE -> answer(context, 503, "", false, request);
                case LOSE_ANSWER -> {
                    mRunning = false;
                    context.close();
                }
                case SHORT_BODY -> shortBody(context, request);
                case UNSIGNED -> answer(context, 200, "unsigned", false, request);
                case FAIL -> answer(context, 500, "failed", true, request);
                case HANG -> {}
                default -> {
                    if (request.uri().contains("stream")) {
                        stream(context, request, fault);
                    } else {
                        answer(context, 200, "answer to " + id(request), true, request);
                        if (fault == Fault.EXTRA_ANSWER) {
                            extra(context);
                        }
                    }
                }
            }
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
                    .set(REQUEST_ID, id(request))
                    .set("Keep-Alive", "timeout=10");
            if (signed) {
                response.headers().set(SIGNATURE, "sig-" + id(request));
            }
            if (status == 503 || status == 421) {
                response.headers().set("X-Heathercourse-Not-Executed", "1");
            }
            context.writeAndFlush(response);
        }

        private void extra(ChannelHandlerContext context) {
            String extra =
                    "HTTP/1.1 200 OK\r\n"
                            + REQUEST_ID
                            + ": earlier\r\n"
                            + SIGNATURE
                            + ": sig-earlier\r\nContent-Length: 5\r\n\r\nother";
            // Written below the codec, which allows one answer for each request.
            context.pipeline()
                    .firstContext()
                    .writeAndFlush(Unpooled.copiedBuffer(extra, StandardCharsets.US_ASCII));
        }

        private void shortBody(ChannelHandlerContext context, FullHttpRequest request) {
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
                    .set(REQUEST_ID, id(request))
                    .set(SIGNATURE, "sig-" + id(request) + "-" + mReceived.size());
            return head;
        }

        private void stream(ChannelHandlerContext context, FullHttpRequest request, Fault fault) {
            DefaultHttpResponse head = head(request);
            head.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
                    .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            context.writeAndFlush(head);
            String last = request.headers().get("Last-Event-Id");
            event(context, last == null ? 1 : Integer.parseInt(last) + 1, fault);
        }

        private void event(ChannelHandlerContext context, int number, Fault fault) {
            if (fault == Fault.BREAK_STREAM && number > BREAK_AFTER) {
                mRunning = false;
                write(context, "id: " + number + "\nda");
                context.close();
                return;
            }
            if (number > EVENTS) {
                mRunning = false;
                context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                return;
            }
            write(context, "id: " + number + "\ndata: token " + number + "\n\n");
            if (mEventMillis == 0) {
                event(context, number + 1, fault);
            } else {
                context.executor()
                        .schedule(
                                () -> event(context, number + 1, fault),
                                mEventMillis,
                                TimeUnit.MILLISECONDS);
            }
        }

        private void write(ChannelHandlerContext context, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }

        private String id(FullHttpRequest request) {
            return request.headers().get(REQUEST_ID, "none");
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mRunning) {
                mCancelled.incrementAndGet();
            }
        }
    }
}
