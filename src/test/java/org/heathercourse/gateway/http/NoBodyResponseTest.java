package org.heathercourse.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.Locale;
import java.util.ServiceLoader;
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
 * Guards against a body, or a length of another body, in a response without a body, after which the
 * caller reads the next response at the wrong place.
 */
class NoBodyResponseTest {
    private static final long MAX_BUFFER_BYTES = 1_000_000;

    /** Head of a request whose body is awaited, so that the test writes the response. */
    private static final String HEAD =
            " /read/1 HTTP/1.1\r\nHost: app.example\r\nContent-Length: 4\r\n\r\n";

    private final ManualTicker mTicker = new ManualTicker();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();

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
                () -> DrainSchedule.NOT_LEAVING,
                null,
                0);
    }

    /** Returns what is written for a response without a body, in lower case. */
    private String respond(String method, int status) {
        new CallerServer(dependencies()).initialize(mChannel);
        mChannel.pipeline().fireChannelActive();
        mChannel.writeInbound(Unpooled.copiedBuffer(method + HEAD, StandardCharsets.US_ASCII));
        CallerConnection connection = mChannel.pipeline().get(CallerConnection.class);
        connection.begin(status, "", new DefaultHttpHeaders(), 0);
        connection.write(new byte[0]);
        connection.end();
        mChannel.runPendingTasks();
        StringBuilder written = new StringBuilder();
        for (Object part = mChannel.readOutbound(); part != null; part = mChannel.readOutbound()) {
            written.append(((ByteBuf) part).toString(StandardCharsets.US_ASCII));
            ReferenceCountUtil.release(part);
        }
        return written.toString().toLowerCase(Locale.ROOT);
    }

    private static void assertNoBodyAndNoLength(String response) {
        assertThat(response)
                .startsWith("http/1.1 ")
                .endsWith("\r\n\r\n")
                .doesNotContain("content-length")
                .doesNotContain("transfer-encoding");
        assertThat(response.split("\r\n\r\n", -1)).hasSize(2);
    }

    /** Guards against a length of 0 in a response to HEAD, where GET has a body. */
    @Test
    void responseToHeadHasNoLengthOfItsOwn() {
        assertNoBodyAndNoLength(respond("HEAD", 200));
    }

    /** Guards against a length of 0 in a 304, which would be that of the stored body. */
    @Test
    void notModifiedHasNoLengthOfItsOwn() {
        assertNoBodyAndNoLength(respond("POST", 304));
    }

    /** Guards against a length in a 204, which must not have one. */
    @Test
    void noContentHasNoLength() {
        assertNoBodyAndNoLength(respond("POST", 204));
    }

    /** Guards against an empty response without a length, which would not end. */
    @Test
    void otherEmptyResponseHasTheLengthZero() {
        assertThat(respond("POST", 200)).contains("content-length: 0\r\n");
    }
}
