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
 * HTTP server of the caller port. Safe for use by several threads. Life cycle: create, {@link
 * #start}, {@link #close}.
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
    private final AtomicInteger mActiveRequests = new AtomicInteger();
    private volatile boolean mDraining;
    private Javalin mServer;

    /** Handles the requests of one route. */
    interface RouteHandler {
        /**
         * Handles a request.
         *
         * @return wire name of the error kind, or {@code ok}
         */
        String handle(Context context) throws IOException, InterruptedException;
    }

    /**
     * Creates a server without starting it.
     *
     * @param settings address, limits and TLS files
     * @param handlers request handlers
     * @param ticker time source
     * @param observer receives the outcome of each request
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
                    .remedy("choose a free caller port and readable TLS files")
                    .cause(e)
                    .build();
        }
        return mServer.port();
    }

    private void configure(JavalinConfig config) {
        JettySetup.apply(config, mSettings, "caller");
        config.routes.get("/v1/address", toHandler(c -> mHandlers.adviseAddress(c, mDraining)));
        config.routes.get("/v1/models", toHandler(mHandlers::listModels));
        config.routes.post("/v1/programs", toHandler(mHandlers::startProgram));
        config.routes.get("/v1/programs/{id}", toHandler(mHandlers::showProgram));
        config.routes.delete("/v1/programs/{id}", toHandler(mHandlers::endProgram));
        config.routes.get(
                "/v1/programs/{id}/requests/{request}", toHandler(mHandlers::resumeAnswer));
        config.routes.post("/v1/chat/completions", toHandler(mHandlers::completeChat));
        for (HandlerType method : METHODS) {
            config.routes.addHttpHandler(
                    method, "/v1/services/{service}/<path>", toHandler(mHandlers::callService));
            config.routes.addHttpHandler(
                    method, "/v1/services/{service}", toHandler(mHandlers::callService));
        }
        config.routes.error(404, this::handleNotFound);
    }

    private void handleNotFound(Context context) throws IOException {
        if (!context.res().isCommitted() && context.attribute("handled") == null) {
            HttpErrors.write(
                    context.res(),
                    new HeathercourseException(
                            ErrorKind.UNKNOWN_SERVICE,
                            "no such path",
                            "use a documented path below /v1"));
        }
    }

    private Handler toHandler(RouteHandler route) {
        return context -> {
            context.attribute("handled", true);
            mActiveRequests.incrementAndGet();
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
                LOG.debug("caller_disconnected", "reason", e.getClass().getSimpleName());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                kind = ErrorKind.INTERNAL.wireName();
                if (context.res().isCommitted()) {
                    throw e;
                }
                HttpErrors.write(context.res(), e);
            } finally {
                mActiveRequests.decrementAndGet();
                long durationMillis = mTicker.readMillis() - start;
                logAccess(context, kind, durationMillis);
                notifyObserver(context, kind, refusal, durationMillis);
            }
        };
    }

    private void notifyObserver(
            Context context, String kind, HeathercourseException refusal, long durationMillis) {
        mObserver.onRequestEnded(
                new CallObserver.EndedRequest(
                        context.attribute(CallerHandlers.SERVICE_ATTRIBUTE),
                        context.attribute(CallerHandlers.WORKSPACE_ATTRIBUTE),
                        context.attribute(CallerHandlers.ADMITTED_ATTRIBUTE) != null,
                        context.req().getHeader("X-Program-Id"),
                        context.req().getHeader("Idempotency-Key"),
                        kind,
                        context.res().getStatus(),
                        refusal,
                        durationMillis));
    }

    private static void logAccess(Context context, String kind, long durationMillis) {
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
     * Sets whether this daemon is draining. A draining daemon serves requests but closes each
     * connection after its answer and recommends other daemons to callers.
     *
     * @param draining whether it is draining
     */
    public void setDraining(boolean draining) {
        mDraining = draining;
    }

    /** Returns the number of requests in progress. */
    public int activeRequests() {
        return mActiveRequests.get();
    }

    @Override
    public void close() {
        if (mServer != null) {
            mServer.stop();
        }
    }
}
