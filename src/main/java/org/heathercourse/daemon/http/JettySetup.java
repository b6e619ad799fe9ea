package org.heathercourse.daemon.http;

import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Settings of the embedded HTTP server that both ports share. */
final class JettySetup {
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    // A caller that sends its body more slowly than this holds a thread for too long.
    private static final long MIN_BYTES_PER_SECOND = 256;

    private JettySetup() {}

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
        config.jetty.addConnector((server, http) -> connector(server, http, settings));
    }

    private static Connector connector(
            Server server, HttpConfiguration http, HttpSettings settings) {
        http.setRequestHeaderSize(MAX_HEADER_BYTES);
        http.setSendServerVersion(false);
        http.setMinRequestDataRate(MIN_BYTES_PER_SECOND);
        HttpConnectionFactory plain = new HttpConnectionFactory(http);
        ServerConnector connector =
                settings.tls()
                        ? new ServerConnector(
                                server,
                                new SslConnectionFactory(tls(settings), plain.getProtocol()),
                                plain)
                        : new ServerConnector(server, plain);
        connector.setHost(settings.host());
        connector.setPort(settings.port());
        connector.setIdleTimeout(settings.idleTimeoutMillis());
        return connector;
    }

    private static SslContextFactory.Server tls(HttpSettings settings) {
        SslContextFactory.Server factory = new SslContextFactory.Server();
        factory.setKeyStore(PemKeys.load(settings.certificatePath(), settings.privateKeyPath()));
        factory.setKeyStorePassword("");
        return factory;
    }
}
