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

/** An HTTP request at a stand-in and its response. Thread-safe. */
public final class Exchange {
    static final ObjectMapper JSON = new ObjectMapper();

    private final Channel mChannel;
    private final HttpRequest mRequest;
    private final QueryStringDecoder mUri;
    private final boolean mKeepAlive;
    private byte[] mBody = new byte[0];
    private boolean mReplyLost;
    private volatile Runnable mOnDisconnect;
    private volatile boolean mDisconnected;
    private byte[] mScannedTail = new byte[0];
    private volatile int mArrivalIndex = -1;

    Exchange(Channel channel, HttpRequest request) {
        mChannel = channel;
        mRequest = request;
        mUri = new QueryStringDecoder(request.uri());
        mKeepAlive = HttpUtil.isKeepAlive(request);
    }

    void setBody(byte[] body) {
        mBody = body;
    }

    void markReplyLost() {
        mReplyLost = true;
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

    long longHeader(String name, long defaultValue) {
        String value = header(name);
        return value == null || value.isEmpty() ? defaultValue : Long.parseLong(value);
    }

    String query(String name) {
        List<String> values = mUri.parameters().get(name);
        return values == null || values.isEmpty() ? "" : values.get(0);
    }

    long longQuery(String name, long defaultValue) {
        String value = query(name);
        return value.isEmpty() ? defaultValue : Long.parseLong(value);
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

    void setScannedTail(byte[] tail) {
        mScannedTail = tail;
    }

    int arrivalIndex() {
        return mArrivalIndex;
    }

    void setArrivalIndex(int index) {
        mArrivalIndex = index;
    }

    // ---- Response ----

    void reply(int status, JsonNode json) {
        try {
            reply(status, "application/json", JSON.writeValueAsBytes(json));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree could not be serialized", e);
        }
    }

    void reply(int status, String contentType, byte[] body) {
        if (mReplyLost) {
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
            // At 0, some HTTP libraries retry the request by themselves, which clients must
            // prevent.
            response.headers().set(HttpHeaderNames.RETRY_AFTER, "0");
        }
        HttpUtil.setKeepAlive(response, mKeepAlive);
        mChannel.eventLoop().execute(() -> writeLast(response));
    }

    void error(int status, String message, boolean notRun) {
        ObjectNode json = JSON.createObjectNode();
        json.putObject("error").put("message", message).put("not_run", notRun);
        reply(status, json);
    }

    void startStream(String contentType) {
        if (mReplyLost) {
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
        if (mReplyLost) {
            content.release();
            return;
        }
        mChannel.writeAndFlush(new DefaultHttpContent(content));
    }

    void endStream() {
        if (mReplyLost) {
            abort();
            return;
        }
        mChannel.eventLoop().execute(() -> writeLast(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /** Closes the connection without a response. */
    void abort() {
        mChannel.close();
    }

    // ---- Connection ----

    /**
     * Sets the action that runs when the connection closes before the end of the response; runs it
     * at once if the connection is already closed.
     */
    void onDisconnect(Runnable action) {
        mOnDisconnect = action;
        if (mDisconnected) {
            action.run();
        }
    }

    void onConnectionClosed() {
        mDisconnected = true;
        Runnable action = mOnDisconnect;
        if (action != null) {
            action.run();
        }
    }

    private void writeLast(Object last) {
        HttpPort.clearCurrentExchange(mChannel, this);
        var writeFuture = mChannel.writeAndFlush(last);
        if (!mKeepAlive) {
            writeFuture.addListener(future -> mChannel.close());
        }
    }
}
