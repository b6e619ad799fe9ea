package org.heathercourse.ops;

import io.grpc.BindableService;
import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * gRPC server for operators. Rejects calls without a valid credential.
 *
 * <p>Safe for use by several threads. Call {@link #start()} once, then {@link #close()} once.
 */
public final class OperatorServer implements AutoCloseable {
    /** Header that carries the operator's credential, as {@code Bearer <token>}. */
    static final Metadata.Key<String> AUTHORIZATION =
            Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER);

    private static final long STOP_TIMEOUT_SECONDS = 5;

    private final Server mServer;

    /**
     * Creates the server.
     *
     * @param address address to listen on
     * @param operatorToken credential that operators must send
     * @param certificatePath certificate chain (PEM); empty for no TLS
     * @param keyPath private key (PEM); empty for no TLS
     * @param executor runs calls, which may block
     * @param service service to expose
     */
    public OperatorServer(
            InetSocketAddress address,
            String operatorToken,
            String certificatePath,
            String keyPath,
            ExecutorService executor,
            BindableService service) {
        NettyServerBuilder builder =
                NettyServerBuilder.forAddress(address)
                        .executor(executor)
                        .intercept(new CredentialCheck(operatorToken))
                        .addService(service);
        if (!certificatePath.isEmpty()) {
            builder.useTransportSecurity(new File(certificatePath), new File(keyPath));
        }
        mServer = builder.build();
    }

    /**
     * Starts listening.
     *
     * @throws IOException if the port cannot be bound
     */
    public void start() throws IOException {
        mServer.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return mServer.getPort();
    }

    @Override
    public void close() {
        mServer.shutdown();
        try {
            if (!mServer.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                mServer.shutdownNow();
            }
        } catch (InterruptedException e) {
            mServer.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }

    private static final class CredentialCheck implements ServerInterceptor {
        private final byte[] mExpected;

        private CredentialCheck(String operatorToken) {
            mExpected = ("Bearer " + operatorToken).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public <Q, R> ServerCall.Listener<Q> interceptCall(
                ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
            String header = headers.get(AUTHORIZATION);
            byte[] received = (header == null ? "" : header).getBytes(StandardCharsets.UTF_8);
            if (!MessageDigest.isEqual(mExpected, received)) {
                call.close(
                        Status.UNAUTHENTICATED.withDescription(
                                "the operator credential is missing or wrong; set"
                                        + " HEATHERCOURSE_OPERATOR_TOKEN or --token"),
                        new Metadata());
                return new ServerCall.Listener<>() {};
            }
            return Contexts.interceptCall(Context.current(), call, headers, next);
        }
    }
}
