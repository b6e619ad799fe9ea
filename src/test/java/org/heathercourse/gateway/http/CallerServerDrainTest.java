package org.heathercourse.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.drain.DrainSchedule;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.limits.MemoryBudget;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.gateway.call.CallDependencies;
import org.heathercourse.gateway.call.CallMetrics;
import org.heathercourse.gateway.control.ClusterView;
import org.heathercourse.platform.entry.HostedPlatform;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.Test;

/**
 * Guards against an exit that cuts off what counts as no call: requests that are being read and
 * responses that are not written. Without a configuration each request is answered at once.
 */
class CallerServerDrainTest {
    private static final String HEAD =
            "POST /order/1 HTTP/1.1\r\nHost: app.example\r\nContent-Length: 4\r\n\r\n";
    private static final String REQUEST = HEAD + "body";

    private static final long MAX_BUFFER_BYTES = 1_000_000;

    private final ManualTicker mTicker = new ManualTicker();
    private final List<ChannelPromise> mHeldWrites = new ArrayList<>();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final CallerServer mServer = new CallerServer(dependencies());
    private DrainSchedule mSchedule = DrainSchedule.NOT_LEAVING;
    private final StringBuilder mWritten = new StringBuilder();

    private CallDependencies dependencies() {
        HostedPlatform platform =
                ServiceLoader.load(HostedPlatform.class).findFirst().orElseThrow();
        return new CallDependencies(
                null,
                mTicker,
                null,
                new ClusterView(),
                new ReadFreshness(
                        new SuspendAwareClock(mTicker, Clock.fixed(Instant.EPOCH, ZoneOffset.UTC))),
                () -> 0,
                platform.callFormat(),
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                new CallMetrics(new MetricRegistry()),
                new MemoryBudget(MAX_BUFFER_BYTES),
                () -> mSchedule,
                null,
                0);
    }

    private void open() {
        mChannel.pipeline().addLast(new WriteHolder());
        mServer.initialize(mChannel);
        mChannel.pipeline().fireChannelActive();
    }

    private void receive(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void completeWrites() {
        new ArrayList<>(mHeldWrites).forEach(ChannelPromise::setSuccess);
        mChannel.runPendingTasks();
    }

    private int responseCount() {
        return mWritten.toString().split("HTTP/1.1 503", -1).length - 1;
    }

    private void leave() {
        mSchedule = DrainSchedule.of(mTicker.readMillis(), 1_000, 2_000);
        mServer.leave();
    }

    @Test
    void requestThatIsBeingReadHoldsTheStop() {
        open();
        leave();
        receive(HEAD);
        CompletableFuture<Void> drained = mServer.close();
        assertThat(drained).isNotDone();
        receive("body");
        assertThat(responseCount()).isEqualTo(1);
        completeWrites();
        assertThat(drained).isDone();
    }

    @Test
    void responseThatIsNotWrittenHoldsTheStop() {
        open();
        leave();
        receive(REQUEST);
        CompletableFuture<Void> drained = mServer.close();
        assertThat(drained).isNotDone();
        assertThat(mChannel.isOpen()).isTrue();
        completeWrites();
        assertThat(drained).isDone();
        assertThat(mChannel.isOpen()).isFalse();
    }

    @Test
    void requestBehindTheLastResponseOfConnectionIsNotStarted() {
        open();
        leave();
        receive(REQUEST + REQUEST);
        receive(REQUEST);
        assertThat(responseCount()).isEqualTo(1);
        completeWrites();
        assertThat(mChannel.isOpen()).isFalse();
        assertThat(responseCount()).isEqualTo(1);
    }

    /** Guards against a last response that is cut when the response before it is written. */
    @Test
    void responseBeforeTheLastOneDoesNotCloseTheConnection() {
        open();
        receive(REQUEST);
        int firstWrites = mHeldWrites.size();
        receive(REQUEST.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        assertThat(responseCount()).isEqualTo(2);
        List.copyOf(mHeldWrites.subList(0, firstWrites)).forEach(ChannelPromise::setSuccess);
        mChannel.runPendingTasks();
        assertThat(mChannel.isOpen()).isTrue();
        List.copyOf(mHeldWrites.subList(firstWrites, mHeldWrites.size()))
                .forEach(ChannelPromise::setSuccess);
        mChannel.runPendingTasks();
        assertThat(mChannel.isOpen()).isFalse();
    }

    /** Records what is written and completes the writes only when the test says so. */
    private final class WriteHolder extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                mWritten.append(bytes.toString(StandardCharsets.US_ASCII));
            }
            ReferenceCountUtil.release(message);
            mHeldWrites.add(promise);
        }
    }
}
