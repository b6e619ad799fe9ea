package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;

/**
 * A plain or tool service. Each request with a request identity is an effect. {@code /echo} sends
 * the body back, {@code /sleep?ms=} answers late and {@code /hang} never. Safe for use by several
 * threads.
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
    public void arrived(Exchange exchange) {
        mAccounting.arrived(mId, exchange);
    }

    @Override
    public boolean echoes(Exchange exchange) {
        return exchange.path().equals("/echo");
    }

    @Override
    public void echoStarted(Exchange exchange) {
        effect(exchange);
    }

    @Override
    public void echoed(Exchange exchange, ByteBuf piece) {
        mAccounting.scanPiece(exchange, piece);
    }

    @Override
    public boolean changesSomething(Exchange exchange) {
        return true;
    }

    @Override
    public void handle(Exchange exchange) {
        mAccounting.scanBody(exchange.body());
        long effect = effect(exchange);
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

    private long effect(Exchange exchange) {
        return exchange.header("X-Request-Id") == null ? 0 : mAccounting.effect(mId, exchange);
    }
}
