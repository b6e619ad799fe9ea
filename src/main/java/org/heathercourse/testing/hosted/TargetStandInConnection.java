package org.heathercourse.testing.hosted;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.heathercourse.testing.hosted.TargetStandIn.Fault;
import org.heathercourse.testing.hosted.TargetStandIn.ReceivedRequest;

/** One connection of a gateway to a {@link TargetStandIn}. Confined to its event loop. */
final class TargetStandInConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int EVENTS_BEFORE_BREAK = 2;
    private static final int FLOOD_REPETITIONS = 1_000;
    private static final int STALLED_EVENT_BYTES = 250_000;
    private static final String LEAVING_HEADER = "Server-Leaving";
    private static final String SIGNATURE_HEADER = "X-Heathercourse-Response-Signature";

    /** Start of the head of a response to another request. */
    private static final String EXTRA_HEAD =
            "HTTP/1.1 200 OK\r\n"
                    + TargetStandIn.REQUEST_ID_HEADER
                    + ": earlier\r\n"
                    + SIGNATURE_HEADER
                    + ": sig-earlier\r\n";

    private final TargetStandIn mTarget;
    private String mRefusedRequestId;
    private boolean mRunning;

    TargetStandInConnection(TargetStandIn target) {
        mTarget = target;
    }

    /**
     * A stream that the target sends.
     *
     * @param requestId identity of its request
     * @param intervalMillis time between two events in milliseconds
     * @param fault fault of its request
     */
    private record Stream(String requestId, long intervalMillis, Fault fault) {}

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        Fault fault = mTarget.nextFault();
        String expected = request.headers().get("X-Heathercourse-Expected-Instance");
        boolean misdirected = expected != null && !expected.equals(mTarget.id());
        misdirected |= fault == Fault.WRONG_VERSION;
        boolean executed = fault != Fault.REFUSE && !misdirected;
        mTarget.record(
                new ReceivedRequest(
                        request.method().name(),
                        request.uri(),
                        request.headers().copy(),
                        request.content().toString(StandardCharsets.UTF_8),
                        ByteBufUtil.getBytes(request.content()),
                        executed));
        if (misdirected) {
            answer(context, 421, "", false, request);
            return;
        }
        mRunning = true;
        if (mTarget.crashesOn(request.content().toString(StandardCharsets.UTF_8))) {
            mTarget.crash();
            return;
        }
        execute(context, request, fault);
    }

    private void execute(ChannelHandlerContext context, FullHttpRequest request, Fault fault) {
        switch (fault) {
            case REFUSE -> {
                mRefusedRequestId = requestId(request);
                answer(context, 503, "", false, request);
            }
            case LOSE_ANSWER -> {
                mRunning = false;
                context.close();
            }
            case SHORT_BODY -> sendShortBody(context, request, context::close);
            case CUT_HEAD -> {
                mRunning = false;
                writeRaw(context, "HTTP/1.1 200 OK\r\n" + headLines(request) + "Content-Le")
                        .addListener(ChannelFutureListener.CLOSE);
            }
            case UNSIGNED -> answer(context, 200, "unsigned", false, request);
            case NO_CONTENT -> answer(context, 204, "", true, request);
            case OTHER_BODY -> answer(context, 200, "failed", true, request);
            case FAIL -> answer(context, 500, "failed", true, request);
            case INVALID_STATUS -> sendInvalidStatus(context, request);
            case HANG -> {}
            case STALLED_EVENT -> {
                sendStreamHead(context, request);
                writeRaw(context, "400000\r\ndata: " + "x".repeat(STALLED_EVENT_BYTES));
            }
            case ENDLESS_EVENT -> {
                sendStreamHead(context, request);
                flood(context, "400000\r\ndata: ", "x");
            }
            case ENDLESS_EVENTS -> {
                sendStreamHead(context, request);
                flood(context, "", "0c\r\ndata: more\n\n\r\n");
            }
            case ENDLESS_INFORMATIONAL_RESPONSES ->
                    flood(context, "", "HTTP/1.1 102 Processing\r\n\r\n");
            case ENDLESS_EXTRA_ANSWER ->
                    flood(context, EXTRA_HEAD + "Content-Length: 100000000\r\n\r\n", "x");
            case ENDLESS_HEADER -> flood(context, "HTTP/1.1 200 OK\r\nX-Filler: ", "x");
            default -> {
                writeStaleRefusal(context, fault);
                if (request.uri().contains("stream")) {
                    startStream(context, request, fault);
                } else if (fault == Fault.CRASH_IN_BODY) {
                    sendShortBody(context, request, mTarget::crash);
                } else {
                    scheduleAnswer(context, request, fault);
                }
            }
        }
    }

    private String headLines(FullHttpRequest request) {
        String id = requestId(request);
        return TargetStandIn.REQUEST_ID_HEADER
                + ": "
                + id
                + "\r\n"
                + SIGNATURE_HEADER
                + ": sig-"
                + id
                + "\r\n";
    }

    private void writeStaleRefusal(ChannelHandlerContext context, Fault fault) {
        String refusal =
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                        + "X-Heathercourse-Not-Executed: 1\r\n";
        if (fault == Fault.REPEAT_REFUSAL && mRefusedRequestId != null) {
            String idHeader = TargetStandIn.REQUEST_ID_HEADER + ": " + mRefusedRequestId;
            writeRaw(context, refusal + idHeader + "\r\n\r\n");
        } else if (fault == Fault.REFUSAL_WITHOUT_ID) {
            writeRaw(context, refusal + "\r\n");
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
        mTarget.recordWorkEnd(requestId(request));
        answer(context, 200, text + " ".repeat((int) Math.max(0, fillerBytes)), true, request);
        if (fault == Fault.EXTRA_ANSWER) {
            sendExtraAnswer(context);
        }
    }

    private long queryNumber(FullHttpRequest request, String parameter, long defaultNumber) {
        List<String> values = new QueryStringDecoder(request.uri()).parameters().get(parameter);
        return values == null ? defaultNumber : Long.parseLong(values.get(0));
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
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                .set(TargetStandIn.REQUEST_ID_HEADER, requestId(request))
                .set("Keep-Alive", "timeout=10");
        if (mTarget.isLeaving()) {
            response.headers().set(LEAVING_HEADER, "1");
        }
        if (signed) {
            response.headers().set(SIGNATURE_HEADER, "sig-" + requestId(request));
        }
        if (status == 503 || status == 421) {
            response.headers().set("X-Heathercourse-Not-Executed", "1");
        }
        boolean unframed = status == 200 && mTarget.isUnframed();
        if (unframed) {
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        }
        ChannelFuture written = context.writeAndFlush(response);
        if (unframed) {
            end(context, written);
        }
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

    private void sendInvalidStatus(ChannelHandlerContext context, FullHttpRequest request) {
        mRunning = false;
        String body = "id: 1\ndata: invalid\n\n";
        writeRaw(
                context,
                mTarget.invalidHeadStart()
                        + headLines(request)
                        + "Content-Type: text/event-stream\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    private void sendShortBody(
            ChannelHandlerContext context, FullHttpRequest request, Runnable end) {
        mRunning = false;
        DefaultHttpResponse head = head(request);
        if (!mTarget.isUnframed()) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 100);
        }
        context.write(head);
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[10])))
                .addListener(done -> end.run());
    }

    private DefaultHttpResponse head(FullHttpRequest request) {
        DefaultHttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (mTarget.isLeaving()) {
            head.headers().set(LEAVING_HEADER, "1");
        }
        head.headers()
                .set(TargetStandIn.REQUEST_ID_HEADER, requestId(request))
                .set(
                        SIGNATURE_HEADER,
                        "sig-" + requestId(request) + "-" + mTarget.receivedRequests().size());
        return head;
    }

    private void startStream(ChannelHandlerContext context, FullHttpRequest request, Fault fault) {
        sendStreamHead(context, request);
        String lastEventId = request.headers().get("Last-Event-Id");
        Stream stream =
                new Stream(
                        requestId(request),
                        queryNumber(request, "event_interval_ms", mTarget.eventIntervalMillis()),
                        // Only one target ends: the one at which the stream begins.
                        fault == Fault.CRASH_IN_BODY && lastEventId != null ? Fault.NONE : fault);
        sendEvent(context, firstNumber(lastEventId, fault), stream);
    }

    private static int firstNumber(String lastEventId, Fault fault) {
        if (lastEventId == null || fault == Fault.RESTART_STREAM) {
            return 1;
        }
        return Integer.parseInt(lastEventId) + (fault == Fault.SKIP_EVENT ? 2 : 1);
    }

    private void sendStreamHead(ChannelHandlerContext context, FullHttpRequest request) {
        DefaultHttpResponse head = head(request);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        if (!mTarget.isUnframed()) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        context.writeAndFlush(head);
    }

    private void sendEvent(ChannelHandlerContext context, int number, Stream stream) {
        if (number > EVENTS_BEFORE_BREAK && breakOff(context, number, stream.fault())) {
            mRunning = false;
            return;
        }
        if (number > TargetStandIn.EVENT_COUNT) {
            mRunning = false;
            mTarget.recordWorkEnd(stream.requestId());
            end(context, context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
            return;
        }
        write(context, idLine(number, stream.fault()) + mTarget.eventLines(number) + "\n");
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

    private static String idLine(int number, Fault fault) {
        return fault == Fault.BREAK_STREAM_WITHOUT_IDS ? "" : "id: " + number + "\n";
    }

    /** Breaks off a stream before an event if its fault says so; returns whether it does. */
    private boolean breakOff(ChannelHandlerContext context, int number, Fault fault) {
        switch (fault) {
            case BREAK_STREAM, BREAK_STREAM_WITHOUT_IDS -> {
                write(context, idLine(number, fault) + "da");
                context.close();
            }
            case RESET_STREAM -> {
                context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                context.close();
            }
            case CRASH_IN_BODY -> mTarget.crash();
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Closes the connection behind the last byte of a response without framing. */
    private void end(ChannelHandlerContext context, ChannelFuture written) {
        if (mTarget.isUnframed()) {
            written.addListener(done -> context.close());
        }
    }

    private void write(ChannelHandlerContext context, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    private String requestId(FullHttpRequest request) {
        return request.headers().get(TargetStandIn.REQUEST_ID_HEADER, "none");
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mRunning) {
            mTarget.recordCancelled();
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
