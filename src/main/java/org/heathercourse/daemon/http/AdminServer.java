package org.heathercourse.daemon.http;

import com.codahale.metrics.MetricRegistry;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import java.util.function.BooleanSupplier;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.metrics.PrometheusText;

/**
 * HTTP server of the admin port, which serves health checks and metrics. Safe for use by several
 * threads. Life cycle: create, {@link #start}, {@link #close}.
 */
public final class AdminServer implements AutoCloseable {
    private static final int THREADS = 12;

    private final HttpSettings mSettings;
    private final MetricRegistry mMetrics;
    private final BooleanSupplier mReady;
    private Javalin mServer;

    /**
     * Creates a server without starting it.
     *
     * @param host address to listen on
     * @param port port to listen on; 0 for a port chosen by the system
     * @param metrics metrics to serve
     * @param ready whether the daemon is ready for traffic
     */
    public AdminServer(String host, int port, MetricRegistry metrics, BooleanSupplier ready) {
        mSettings = HttpSettings.builder().host(host).port(port).maxThreads(THREADS).build();
        mMetrics = metrics;
        mReady = ready;
    }

    /**
     * Starts listening.
     *
     * @return the port that the server listens on
     * @throws HeathercourseException of kind INVALID_SETTING if the address cannot be bound
     */
    public int start() {
        try {
            mServer = Javalin.create(this::configure).start();
        } catch (RuntimeException e) {
            throw HeathercourseException.builder(ErrorKind.INVALID_SETTING)
                    .message("cannot listen on " + mSettings.host() + ":" + mSettings.port())
                    .remedy("choose a free admin port")
                    .cause(e)
                    .build();
        }
        return mServer.port();
    }

    private void configure(JavalinConfig config) {
        JettySetup.apply(config, mSettings, "admin");
        config.routes.get("/healthz", context -> context.result("ok\n"));
        config.routes.get(
                "/readyz",
                context -> {
                    boolean ready = mReady.getAsBoolean();
                    context.status(ready ? 200 : 503).result(ready ? "ready\n" : "not ready\n");
                });
        config.routes.get(
                "/metrics",
                context ->
                        context.contentType("text/plain; version=0.0.4")
                                .result(PrometheusText.write(mMetrics)));
    }

    @Override
    public void close() {
        if (mServer != null) {
            mServer.stop();
        }
    }
}
