package org.heathercourse.testing.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** One HTTP request at a stand-in and its answer. Safe for use by several threads. */
public final class Exchange {
    static final ObjectMapper JSON = new ObjectMapper();

    private final Channel mChannel;
    private final HttpRequest mRequest;
    private final QueryStringDecoder mUri;
    private final boolean mKeepAlive;
    private byte[] mBody = new byte[0];
    private boolean mLoseReply;
    private volatile Runnable mOnDisconnect;
    private volatile boolean mDisconnected;
    private byte[] mScannedTail = new byte[0];
    private volatile int mArrival = -1;

    Exchange(Channel channel, HttpRequest request) {
        mChannel = channel;
        mRequest = request;
        mUri = new QueryStringDecoder(request.uri());
        mKeepAlive = HttpUtil.isKeepAlive(request);
    }

    void body(byte[] body) {
        mBody = body;
    }

    void loseReply() {
        mLoseReply = true;
    }

    // ---- Request ----

    String method() {
        return mRequest.method().name();
    }

    String path() {
        return mUri.path();
    }

    String uri() {
        return mRequest.uri();
    }

    HttpHeaders headers() {
        return mRequest.headers();
    }

    String header(String name) {
        return mRequest.headers().get(name);
    }

    long longHeader(String name, long ifAbsent) {
        String value = header(name);
        return value == null || value.isEmpty() ? ifAbsent : Long.parseLong(value);
    }

    String query(String name) {
        List<String> values = mUri.parameters().get(name);
        return values == null || values.isEmpty() ? "" : values.get(0);
    }

    long longQuery(String name, long ifAbsent) {
        String value = query(name);
        return value.isEmpty() ? ifAbsent : Long.parseLong(value);
    }

    byte[] body() {
        return mBody;
    }

    JsonNode json() throws IOException {
        JsonNode node = JSON.readTree(mBody);
        return node == null ? JSON.createObjectNode() : node;
    }

    // ---- Accounting ----

    byte[] scannedTail() {
        return mScannedTail;
    }

    void scannedTail(byte[] tail) {
        mScannedTail = tail;
    }

    int arrival() {
        return mArrival;
    }

    void arrival(int index) {
        mArrival = index;
    }

    // ---- Answer ----

    void reply(int status, JsonNode json) {
        try {
            reply(status, "application/json", JSON.writeValueAsBytes(json));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree could not be written", e);
        }
    }

    void reply(int status, String contentType, byte[] body) {
        if (mLoseReply) {
            abort();
            return;
        }
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        HttpUtil.setContentLength(response, body.length);
        if (status == 503) {
            // The value at which some HTTP libraries repeat the request on their own.
            response.headers().set(HttpHeaderNames.RETRY_AFTER, "0");
        }
        HttpUtil.setKeepAlive(response, mKeepAlive);
        mChannel.eventLoop().execute(() -> finish(response));
    }

    void error(int status, String message, boolean notRun) {
        ObjectNode json = JSON.createObjectNode();
        json.putObject("error").put("message", message).put("not_run", notRun);
        reply(status, json);
    }

    void startStream(String contentType) {
        if (mLoseReply) {
            return;
        }
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        HttpUtil.setTransferEncodingChunked(response, true);
        HttpUtil.setKeepAlive(response, mKeepAlive);
        mChannel.writeAndFlush(response);
    }

    void write(String text) {
        write(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    void write(ByteBuf content) {
        if (mLoseReply) {
            content.release();
            return;
        }
        mChannel.writeAndFlush(new DefaultHttpContent(content));
    }

    void endStream() {
        if (mLoseReply) {
            abort();
            return;
        }
        mChannel.eventLoop().execute(() -> finish(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /** Closes the connection without an answer. */
    void abort() {
        mChannel.close();
    }

    // ---- Connection ----

    /** Sets the action for a connection that is closed before the answer ended. */
    void onDisconnect(Runnable action) {
        mOnDisconnect = action;
        if (mDisconnected) {
            action.run();
        }
    }

    void disconnected() {
        mDisconnected = true;
        Runnable action = mOnDisconnect;
        if (action != null) {
            action.run();
        }
    }

    private void finish(Object last) {
        HttpPort.answered(mChannel, this);
        var written = mChannel.writeAndFlush(last);
        if (!mKeepAlive) {
            written.addListener(future -> mChannel.close());
        }
    }
}
