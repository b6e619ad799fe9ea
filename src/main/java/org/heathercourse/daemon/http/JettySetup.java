package org.heathercourse.daemon.http;

import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Configures the embedded HTTP server of both ports. Stateless. */
final class JettySetup {
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    // A request body that arrives more slowly would occupy a thread for too long.
    private static final long MIN_BYTES_PER_SECOND = 256;

    /**
     * Buffers of connections, each used once. The server may free the buffer of a malformed request
     * twice; with a pool, two connections would then share it and receive each other's bytes.
     */
    private static final ByteBufferPool BUFFERS = ByteBufferPool.NON_POOLING;

    /** Lets the server choose the number of threads that accept or read connections. */
    private static final int DEFAULT_THREAD_COUNT = -1;

    private JettySetup() {}

    /**
     * Applies the settings to a server configuration.
     *
     * @param config configuration of the server
     * @param settings address, limits and TLS files
     * @param threadName name of the thread pool
     */
    static void apply(JavalinConfig config, HttpSettings settings, String threadName) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.startup.startupWatcherEnabled = false;
        config.http.compressionStrategy = CompressionStrategy.NONE;
        config.http.maxRequestSize = settings.bodyLimitBytes();
        QueuedThreadPool threads = new QueuedThreadPool(settings.maxThreads(), 8);
        threads.setName(threadName);
        threads.setDaemon(true);
        config.jetty.threadPool = threads;
        config.jetty.addConnector((server, http) -> createConnector(server, http, settings));
    }

    private static Connector createConnector(
            Server server, HttpConfiguration http, HttpSettings settings) {
        http.setRequestHeaderSize(MAX_HEADER_BYTES);
        http.setSendServerVersion(false);
        http.setMinRequestDataRate(MIN_BYTES_PER_SECOND);
        // Without a pool, direct buffers would cost an allocation outside the heap each.
        http.setUseInputDirectByteBuffers(false);
        http.setUseOutputDirectByteBuffers(false);
        ServerConnector connector =
                new ServerConnector(
                        server,
                        null,
                        null,
                        BUFFERS,
                        DEFAULT_THREAD_COUNT,
                        DEFAULT_THREAD_COUNT,
                        createProtocols(new HttpConnectionFactory(http), settings));
        connector.setHost(settings.host());
        connector.setPort(settings.port());
        connector.setIdleTimeout(settings.idleTimeoutMillis());
        return connector;
    }

    private static ConnectionFactory[] createProtocols(
            HttpConnectionFactory plain, HttpSettings settings) {
        if (!settings.isTlsEnabled()) {
            return new ConnectionFactory[] {plain};
        }
        return new ConnectionFactory[] {
            new SslConnectionFactory(createSslContext(settings), plain.getProtocol()), plain
        };
    }

    private static SslContextFactory.Server createSslContext(HttpSettings settings) {
        SslContextFactory.Server factory = new SslContextFactory.Server();
        factory.setKeyStore(PemKeys.load(settings.certificatePath(), settings.privateKeyPath()));
        factory.setKeyStorePassword("");
        return factory;
    }
}
