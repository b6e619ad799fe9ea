package org.heathercourse.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.platform.rows.StoreChannel;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against several requests in a row that wait for their timeout, because each is sent over
 * another connection that has gone silent.
 */
class DirectChannelTest {
    private static final int CONNECTIONS = 3;
    private static final long SHORT_TIMEOUT_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final StoreChannel.Request READ =
            new StoreChannel.Request("GET", "/api/rows-get?table=t&part=", new byte[0]);

    private final StoreStandIn mStore = new StoreStandIn();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final DirectChannel mChannel =
            new DirectChannel(new InetSocketAddress("127.0.0.1", mStore.port()), mGroup.next());

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully();
        mStore.close();
    }

    @Test
    void oneTimeoutShowsThatConnectionsAreSilent() {
        List<CompletableFuture<StoreChannel.Reply>> replies = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            replies.add(mChannel.send(READ, TIMEOUT_MILLIS));
        }
        replies.forEach(CompletableFuture::join);
        mStore.silenceOpenConnections();
        assertThatThrownBy(() -> mChannel.send(READ, SHORT_TIMEOUT_MILLIS).join())
                .hasMessageContaining("did not reply");
        for (int i = 0; i < CONNECTIONS; i++) {
            assertThat(mChannel.send(READ, TIMEOUT_MILLIS).join().status()).isEqualTo(200);
        }
    }
}
