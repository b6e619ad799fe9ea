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
 * Connects an operator to a deployment: tries the given daemons in turn until one answers.
 *
 * <p>Not safe for use by several threads. Close it after use.
 */
public final class OperatorConnection implements AutoCloseable {
    private static final Metadata.Key<String> AUTHORIZATION =
            Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER);
    private static final long CALL_TIMEOUT_SECONDS = 15;
    // Counts against 2,048 objectives in all their buckets take about 10 MB.
    private static final int MAX_RESPONSE_BYTES = 32 << 20;

    private final List<ManagedChannel> mChannels = new ArrayList<>();
    private final ClientInterceptor mCredential;
    private final String mToken;
    private final String mCertificatePath;
    private int mPreferred;

    /**
     * Prepares connections; nothing is sent yet.
     *
     * @param addresses operator addresses of daemons, {@code host:port}
     * @param token the operator's credential
     * @param certificatePath certificates (PEM) that are trusted; empty for no TLS
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
     * Runs a call at the first daemon that answers. Every call of the schema may be repeated.
     *
     * @param call the call
     * @param <T> type of the response
     * @return the response
     * @throws StatusRuntimeException as the daemon answered, or the last failure to reach one
     */
    public <T> T call(Function<OperatorGrpc.OperatorBlockingStub, T> call) {
        StatusRuntimeException last = Status.UNAVAILABLE.asRuntimeException();
        for (int i = 0; i < mChannels.size(); i++) {
            int index = (mPreferred + i) % mChannels.size();
            try {
                T response = call.apply(stub(index));
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
     * Prepares a connection to another daemon with the same credential.
     *
     * @param address operator address, {@code host:port}
     * @throws SSLException if the certificates cannot be read
     */
    public OperatorConnection to(String address) throws SSLException {
        return new OperatorConnection(List.of(address), mToken, mCertificatePath);
    }

    /** Returns a stub of the preferred daemon for calls that stream. */
    public OperatorGrpc.OperatorBlockingStub streaming(long timeoutMillis) {
        return OperatorGrpc.newBlockingStub(mChannels.get(mPreferred))
                .withInterceptors(mCredential)
                .withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private OperatorGrpc.OperatorBlockingStub stub(int index) {
        return OperatorGrpc.newBlockingStub(mChannels.get(index))
                .withInterceptors(mCredential)
                .withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        mChannels.forEach(ManagedChannel::shutdownNow);
    }
}
