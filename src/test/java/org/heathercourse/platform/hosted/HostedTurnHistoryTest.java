package org.heathercourse.platform.hosted;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.heathercourse.core.history.History;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.gateway.history.HistoryAdmission;
import org.heathercourse.gateway.history.HistoryMetrics;
import org.heathercourse.gateway.history.StoreTurnHistory;
import org.heathercourse.gateway.store.DirectChannel;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against histories that the store's protocol does not carry unchanged. */
class HostedTurnHistoryTest {
    private static final HistoryAdmission ADMIT_ALL =
            bytes -> CompletableFuture.completedFuture(true);

    private static final long MAX_WAIT_MILLIS = 20_000;
    private static final long MAX_HISTORY_BYTES = 8L * 1024 * 1024;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ScheduledExecutorService mControl = Executors.newScheduledThreadPool(1);
    private final StoreStandIn mStore = new StoreStandIn();

    private StoreTurnHistory create() {
        return new StoreTurnHistory(
                new UsersPlatform()
                        .rowStore(
                                new DirectChannel(
                                        new InetSocketAddress("127.0.0.1", mStore.port()),
                                        mGroup.next())),
                mControl,
                new SuspendAwareClock(Ticker.system(), Clock.systemUTC()),
                Clock.systemUTC(),
                new HistoryMetrics(new MetricRegistry()),
                MAX_HISTORY_BYTES,
                new SplittableRandom(1));
    }

    @AfterEach
    void stop() {
        mControl.shutdownNow();
        mGroup.shutdownGracefully();
        mStore.close();
    }

    @Test
    void anotherGatewayReadsChain() {
        byte[] input = new byte[4 * 1024 * 1024];
        new Random(1).nextBytes(input);
        byte[] output = {'a', '\n'};
        create().append("w", "t/1 #ä", null, input, output, 60_000, MAX_WAIT_MILLIS).join();
        StoreTurnHistory other = create();
        History parent = other.read("w", "t/1 #ä", ADMIT_ALL).join().orElseThrow();
        other.append("w", "t2", parent, new byte[] {'b'}, output, 60_000, MAX_WAIT_MILLIS).join();
        Optional<History> history = create().read("w", "t2", ADMIT_ALL).join();
        assertThat(history.orElseThrow().body())
                .hasSize(input.length + 5)
                .startsWith(input)
                .endsWith('a', '\n', 'b', 'a', '\n');
        assertThat(create().read("v", "t2", ADMIT_ALL).join()).isEmpty();
    }
}
