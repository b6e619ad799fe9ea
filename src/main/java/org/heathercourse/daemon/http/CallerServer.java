package org.heathercourse.daemon.http;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.Handler;
import io.javalin.http.HandlerType;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import javax.inject.Inject;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;

/**
 * The port for callers. Safe for use by several threads. Life cycle: create, {@link #start}, {@link
 * #close}.
 */
public final class CallerServer implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(CallerServer.class);
    private static final List<HandlerType> METHODS =
            List.of(
                    HandlerType.GET,
                    HandlerType.POST,
                    HandlerType.PUT,
                    HandlerType.PATCH,
                    HandlerType.DELETE,
                    HandlerType.HEAD,
                    HandlerType.OPTIONS);

    private final HttpSettings mSettings;
    private final CallerHandlers mHandlers;
    private final Ticker mTicker;
    private final CallObserver mObserver;
    private final AtomicInteger mActive = new AtomicInteger();
    private volatile boolean mDraining;
    private Javalin mServer;

    /** What answers the requests of one route. */
    interface Route {
        /**
         * Answers a request.
         *
         * @return wire name of the error kind, or ok
         */
        String handle(Context context) throws IOException, InterruptedException;
    }

    /**
     * Creates a server that is not yet started.
     *
     * @param settings address, limits and TLS files
     * @param handlers what answers requests
     * @param ticker time source
     * @param observer told about each request that has ended
     */
    @Inject
    public CallerServer(
            HttpSettings settings, CallerHandlers handlers, Ticker ticker, CallObserver observer) {
        mSettings = settings;
        mHandlers = handlers;
        mTicker = ticker;
        mObserver = observer;
    }

    /**
     * Starts to listen.
     *
     * @return the port, which the system chose if the settings say 0
     * @throws HeathercourseException of kind INVALID_SETTING if the address cannot be bound
     */
    public int start() {
        try {
            mServer = Javalin.create(this::configure).start();
        } catch (RuntimeException e) {
            throw HeathercourseException.builder(ErrorKind.INVALID_SETTING)
                    .message("cannot listen on " + mSettings.host() + ":" + mSettings.port())
                    .remedy("choose a free caller port and readable TLS files")
                    .cause(e)
                    .build();
        }
        return mServer.port();
    }

    private void configure(JavalinConfig config) {
        JettySetup.apply(config, mSettings, "caller");
        config.routes.get("/v1/address", route(c -> mHandlers.address(c, mDraining)));
        config.routes.get("/v1/models", route(mHandlers::models));
        config.routes.post("/v1/programs", route(mHandlers::startProgram));
        config.routes.get("/v1/programs/{id}", route(mHandlers::showProgram));
        config.routes.delete("/v1/programs/{id}", route(mHandlers::endProgram));
        config.routes.get("/v1/programs/{id}/requests/{request}", route(mHandlers::resume));
        config.routes.post("/v1/chat/completions", route(mHandlers::chat));
        for (HandlerType method : METHODS) {
            config.routes.addHttpHandler(
                    method, "/v1/services/{service}/<path>", route(mHandlers::service));
            config.routes.addHttpHandler(
                    method, "/v1/services/{service}", route(mHandlers::service));
        }
        config.routes.error(404, this::notFound);
    }

    private void notFound(Context context) throws IOException {
        if (!context.res().isCommitted() && context.attribute("handled") == null) {
            HttpErrors.write(
                    context.res(),
                    new HeathercourseException(
                            ErrorKind.UNKNOWN_SERVICE,
                            "no such path",
                            "use a path below /v1 that the documentation names"));
        }
    }

    private Handler route(Route route) {
        return context -> {
            context.attribute("handled", true);
            mActive.incrementAndGet();
            long start = mTicker.readMillis();
            if (mDraining) {
                context.res().setHeader("Connection", "close");
            }
            String kind = "disconnected";
            HeathercourseException refusal = null;
            try {
                kind = route.handle(context);
            } catch (HeathercourseException e) {
                kind = e.kind().wireName();
                refusal = e;
                HttpErrors.write(context.res(), e);
            } catch (IOException e) {
                LOG.debug("caller_went_away", "reason", e.getClass().getSimpleName());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                kind = ErrorKind.INTERNAL.wireName();
                if (context.res().isCommitted()) {
                    throw e;
                }
                HttpErrors.write(context.res(), e);
            } finally {
                mActive.decrementAndGet();
                long durationMillis = mTicker.readMillis() - start;
                access(context, kind, durationMillis);
                observe(context, kind, refusal, durationMillis);
            }
        };
    }

    private void observe(
            Context context, String kind, HeathercourseException refusal, long durationMillis) {
        mObserver.ended(
                new CallObserver.Ended(
                        context.attribute(CallerHandlers.SERVICE),
                        context.attribute(CallerHandlers.WORKSPACE),
                        context.attribute(CallerHandlers.ADMITTED) != null,
                        context.req().getHeader("X-Program-Id"),
                        context.req().getHeader("Idempotency-Key"),
                        kind,
                        context.res().getStatus(),
                        refusal,
                        durationMillis));
    }

    private static void access(Context context, String kind, long durationMillis) {
        LOG.info(
                "access",
                "method",
                context.method().name(),
                "route",
                context.endpoint().path,
                "program",
                context.res().getHeader("X-Program-Id"),
                "request",
                context.res().getHeader("X-Request-Id"),
                "kind",
                kind,
                "status",
                context.res().getStatus(),
                "duration_ms",
                durationMillis);
    }

    /**
     * Sets whether this daemon is leaving. While it is, requests are served but connections close
     * after their answer, and callers are told to use other daemons.
     *
     * @param draining whether it is leaving
     */
    public void setDraining(boolean draining) {
        mDraining = draining;
    }

    /** Returns the number of requests in progress. */
    public int activeRequests() {
        return mActive.get();
    }

    @Override
    public void close() {
        if (mServer != null) {
            mServer.stop();
        }
    }
}
