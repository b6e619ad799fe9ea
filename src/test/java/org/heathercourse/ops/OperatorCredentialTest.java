package org.heathercourse.ops;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.grpc.Channel;
import io.grpc.ClientInterceptors;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.heathercourse.ops.v1.ApplyRequest;
import org.heathercourse.ops.v1.OperatorGrpc;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an operator port that lets callers in without the credential, whatever the
 * configuration says of workspaces: the port knows no configuration.
 */
class OperatorCredentialTest {
    private static final String TOKEN = "fedcba9876543210";

    private final ExecutorService mThreads = Executors.newSingleThreadExecutor();
    private OperatorServer mServer;
    private ManagedChannel mChannel;

    /** A service whose methods are all unimplemented, so that a call that arrives is told apart. */
    private static final class Unimplemented extends OperatorGrpc.OperatorImplBase {}

    @BeforeEach
    void start() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        mServer = new OperatorServer(anyPort, TOKEN, "", "", mThreads, new Unimplemented());
        mServer.start();
        mChannel =
                NettyChannelBuilder.forAddress("127.0.0.1", mServer.port()).usePlaintext().build();
    }

    @AfterEach
    void stop() {
        mChannel.shutdownNow();
        mServer.close();
        mThreads.shutdownNow();
    }

    private static Status.Code call(Channel channel) {
        StatusRuntimeException error =
                catchThrowableOfType(
                        StatusRuntimeException.class,
                        () ->
                                OperatorGrpc.newBlockingStub(channel)
                                        .apply(ApplyRequest.getDefaultInstance()));
        return error.getStatus().getCode();
    }

    private Status.Code callWith(String credential) {
        Metadata headers = new Metadata();
        headers.put(OperatorServer.AUTHORIZATION, credential);
        return call(
                ClientInterceptors.intercept(
                        mChannel, MetadataUtils.newAttachHeadersInterceptor(headers)));
    }

    @Test
    void onlyCallsWithTheCredentialReachTheService() {
        assertThat(call(mChannel)).isEqualTo(Status.Code.UNAUTHENTICATED);
        for (String credential :
                new String[] {"", "Bearer", "Bearer ", TOKEN, "Bearer x" + TOKEN}) {
            assertThat(callWith(credential)).as(credential).isEqualTo(Status.Code.UNAUTHENTICATED);
        }
        assertThat(callWith("Bearer " + TOKEN)).isEqualTo(Status.Code.UNIMPLEMENTED);
    }
}
