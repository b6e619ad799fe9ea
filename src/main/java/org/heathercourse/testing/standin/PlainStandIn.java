package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;

/**
 * A plain service, such as a tool. Each request with a request id counts as an effect. {@code
 * /echo} returns the body, {@code /sleep?ms=} responds after a delay and {@code /hang} never
 * responds. Thread-safe.
 */
final class PlainStandIn implements HttpPort.Handler {
    private final String mId;
    private final EventLoopGroup mLoops;
    private final Accounting mAccounting;

    PlainStandIn(String id, EventLoopGroup loops, Accounting accounting) {
        mId = id;
        mLoops = loops;
        mAccounting = accounting;
    }

    @Override
    public void onRequestHead(Exchange exchange) {
        mAccounting.recordArrival(mId, exchange);
    }

    @Override
    public boolean isEcho(Exchange exchange) {
        return exchange.path().equals("/echo");
    }

    @Override
    public void onEchoStarted(Exchange exchange) {
        recordEffect(exchange);
    }

    @Override
    public void onEchoContent(Exchange exchange, ByteBuf chunk) {
        mAccounting.scanChunk(exchange, chunk);
    }

    @Override
    public boolean hasSideEffects(Exchange exchange) {
        return true;
    }

    @Override
    public void handle(Exchange exchange) {
        mAccounting.scanBody(exchange.body());
        long effect = recordEffect(exchange);
        ObjectNode json = Exchange.JSON.createObjectNode();
        json.put("target", mId).put("path", exchange.path());
        json.put("program_id", exchange.header("X-Program-Id"));
        json.put("request_id", exchange.header("X-Request-Id"));
        json.put("effect", effect);
        json.put("body_bytes", exchange.body().length);
        if (exchange.path().equals("/hang")) {
            return;
        }
        long delayMillis = exchange.path().equals("/sleep") ? exchange.longQuery("ms", 0) : 0;
        if (delayMillis > 0) {
            mLoops.schedule(() -> exchange.reply(200, json), delayMillis, TimeUnit.MILLISECONDS);
        } else {
            exchange.reply(200, json);
        }
    }

    private long recordEffect(Exchange exchange) {
        return exchange.header("X-Request-Id") == null
                ? 0
                : mAccounting.recordEffect(mId, exchange);
    }
}
