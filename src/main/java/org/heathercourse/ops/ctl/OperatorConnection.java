package org.heathercourse.ops.ctl;

import io.grpc.ClientInterceptor;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import java.io.File;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import javax.net.ssl.SSLException;
import org.heathercourse.ops.v1.OperatorGrpc;

/**
 * Client of the operator service with failover: tries the given daemons in turn until one answers.
 *
 * <p>Not safe for use by several threads. Must be closed after use.
 */
public final class OperatorConnection implements AutoCloseable {
    private static final Metadata.Key<String> AUTHORIZATION =
            Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER);
    private static final long CALL_TIMEOUT_SECONDS = 15;
    // The counts of 2,048 objectives in all their buckets take about 10 MB.
    private static final int MAX_RESPONSE_BYTES = 32 << 20;

    private final List<ManagedChannel> mChannels = new ArrayList<>();
    private final ClientInterceptor mCredential;
    private final String mToken;
    private final String mCertificatePath;
    private int mPreferred;

    /**
     * Creates a client; connections are opened by the first call.
     *
     * @param addresses operator addresses of daemons, {@code host:port}
     * @param token the operator's credential
     * @param certificatePath path of the trusted certificates (PEM); empty for no TLS
     * @throws SSLException if the certificates cannot be read
     */
    public OperatorConnection(List<String> addresses, String token, String certificatePath)
            throws SSLException {
        mToken = token;
        mCertificatePath = certificatePath;
        Metadata headers = new Metadata();
        headers.put(AUTHORIZATION, "Bearer " + token);
        mCredential = MetadataUtils.newAttachHeadersInterceptor(headers);
        for (String address : addresses) {
            NettyChannelBuilder builder =
                    NettyChannelBuilder.forTarget(address)
                            .maxInboundMessageSize(MAX_RESPONSE_BYTES);
            if (certificatePath.isEmpty()) {
                builder.usePlaintext();
            } else {
                builder.sslContext(
                        GrpcSslContexts.forClient()
                                .trustManager(new File(certificatePath))
                                .build());
            }
            mChannels.add(builder.build());
        }
    }

    /**
     * Runs a call at the first daemon that answers, starting with the one that answered last. A
     * call that failed at one daemon may have taken effect there; the next attempt is safe, as a
     * repeated change does not take effect twice.
     *
     * @param call the call
     * @param <T> type of the response
     * @return the response
     * @throws StatusRuntimeException with the error that a daemon answered, or with the last
     *     failure if no daemon answered
     */
    public <T> T call(Function<OperatorGrpc.OperatorBlockingStub, T> call) {
        StatusRuntimeException last = Status.UNAVAILABLE.asRuntimeException();
        for (int i = 0; i < mChannels.size(); i++) {
            int index = (mPreferred + i) % mChannels.size();
            try {
                T response = call.apply(blockingStub(index));
                mPreferred = index;
                return response;
            } catch (StatusRuntimeException e) {
                last = e;
                Status.Code code = e.getStatus().getCode();
                if (code != Status.Code.UNAVAILABLE && code != Status.Code.DEADLINE_EXCEEDED) {
                    throw e;
                }
            }
        }
        throw last;
    }

    /**
     * Creates a client of another daemon with the same credential and certificates.
     *
     * @param address operator address, {@code host:port}
     * @return the client, which the caller must close
     * @throws SSLException if the certificates cannot be read
     */
    public OperatorConnection connectTo(String address) throws SSLException {
        return new OperatorConnection(List.of(address), mToken, mCertificatePath);
    }

    /** Returns a stub for streaming calls to the daemon that answered last. */
    public OperatorGrpc.OperatorBlockingStub streamingStub(long timeoutMillis) {
        return OperatorGrpc.newBlockingStub(mChannels.get(mPreferred))
                .withInterceptors(mCredential)
                .withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private OperatorGrpc.OperatorBlockingStub blockingStub(int index) {
        return OperatorGrpc.newBlockingStub(mChannels.get(index))
                .withInterceptors(mCredential)
                .withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        mChannels.forEach(ManagedChannel::shutdownNow);
    }
}
