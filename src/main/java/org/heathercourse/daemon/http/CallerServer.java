package org.heathercourse.daemon.http;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.Handler;
import io.javalin.http.HandlerType;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongFunction;
import javax.inject.Inject;
import org.heathercourse.core.drain.DrainSchedule;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;

/**
 * HTTP server of the caller port. Safe for use by several threads. Life cycle: create, {@link
 * #start}, for a planned stop {@link #leave} and {@link #endResponses}, {@link #close}.
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
    private final Set<ActiveRequest> mActiveRequests = ConcurrentHashMap.newKeySet();
    private final DrainGate mGate;
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
        mGate = new DrainGate(ticker);
    }

    /** A request in progress; compared by identity. */
    private static final class ActiveRequest {
        private final Context mContext;
        private final long mStartMillis;
        private final long mLeavingMillis;

        /**
         * Creates a request.
         *
         * @param context the request
         * @param startMillis ticker time of its arrival
         * @param leavingMillis time in milliseconds from the stop signal to its arrival; -1 if it
         *     arrived before
         */
        ActiveRequest(Context context, long startMillis, long leavingMillis) {
            mContext = context;
            mStartMillis = startMillis;
            mLeavingMillis = leavingMillis;
        }
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
        config.routes.get(
                "/v1/address", toHandler(c -> mHandlers.adviseAddress(c, mGate.isLeaving())));
        config.routes.get("/v1/models", toHandler(mHandlers::listModels));
        config.routes.post(
                "/v1/programs", toHandler(mHandlers::startProgram, mHandlers::startLimitMillis));
        config.routes.get(
                "/v1/programs/{id}",
                toHandler(mHandlers::showProgram, mHandlers::operationLimitMillis));
        config.routes.delete(
                "/v1/programs/{id}",
                toHandler(mHandlers::endProgram, mHandlers::operationLimitMillis));
        config.routes.get(
                "/v1/programs/{id}/requests/{request}",
                toHandler(
                        c -> mHandlers.resumeAnswer(c, mGate), CallerHandlers::resumeLimitMillis));
        config.routes.post(
                "/v1/chat/completions",
                toHandler(c -> mHandlers.completeChat(c, mGate), CallerHandlers::callLimitMillis));
        Handler callService =
                toHandler(c -> mHandlers.callService(c, mGate), CallerHandlers::callLimitMillis);
        for (HandlerType method : METHODS) {
            config.routes.addHttpHandler(method, "/v1/services/{service}/<path>", callService);
            config.routes.addHttpHandler(method, "/v1/services/{service}", callService);
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

    /** Returns the handler of a route whose requests end at once and are never refused. */
    private Handler toHandler(RouteHandler route) {
        return context -> handle(context, route);
    }

    /**
     * Returns the handler of a route.
     *
     * @param route handles admitted requests
     * @param limit returns the time in milliseconds after which a request ends in any case
     */
    private Handler toHandler(RouteHandler route, ToLongFunction<Context> limit) {
        RouteHandler admitting =
                context -> {
                    if (mGate.isLeaving()) {
                        mGate.requireTime(limit.applyAsLong(context));
                    }
                    return route.handle(context);
                };
        return context -> handle(context, admitting);
    }

    private void handle(Context context, RouteHandler route) throws IOException {
        context.attribute("handled", true);
        ActiveRequest active =
                new ActiveRequest(context, mTicker.readMillis(), mGate.millisSinceSignal());
        mActiveRequests.add(active);
        if (mGate.isLeaving()) {
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
            mActiveRequests.remove(active);
            long durationMillis = mTicker.readMillis() - active.mStartMillis;
            logAccess(active, kind, durationMillis);
            notifyObserver(context, kind, refusal, durationMillis);
        }
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

    private static void logAccess(ActiveRequest active, String kind, long durationMillis) {
        Context context = active.mContext;
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
                durationMillis,
                "leaving_ms",
                active.mLeavingMillis);
    }

    /**
     * Starts a planned stop. From now on each connection is closed after its response, and other
     * daemons are recommended to callers. Requests that the schedule does not admit are refused.
     *
     * @param schedule times of the stop
     */
    public void leave(DrainSchedule schedule) {
        mGate.leave(schedule);
    }

    /** Returns the number of requests in progress. */
    public int activeRequests() {
        return mActiveRequests.size();
    }

    /**
     * Refuses all further requests, stops listening and waits for the responses to requests that
     * were admitted. Logs each request that is still in progress at the end; {@link #close} cuts it
     * off.
     *
     * @param timeoutMillis maximum time to wait, in milliseconds
     */
    public void endResponses(long timeoutMillis) {
        mGate.close();
        int connections = JettyStop.endConnections(mServer.jettyServer().server(), timeoutMillis);
        mActiveRequests.forEach(this::logCutOff);
        LOG.info(
                "callers_drained",
                "leaving_ms",
                mGate.millisSinceSignal(),
                "open_connections",
                connections,
                "cut_requests",
                mActiveRequests.size());
    }

    private void logCutOff(ActiveRequest active) {
        LOG.warn(
                "request_cut_off",
                "route",
                active.mContext.endpoint().path,
                "request",
                active.mContext.attribute(CallerHandlers.REQUEST_ATTRIBUTE),
                "leaving_ms",
                active.mLeavingMillis,
                "duration_ms",
                mTicker.readMillis() - active.mStartMillis);
    }

    @Override
    public void close() {
        if (mServer != null) {
            mServer.stop();
        }
    }
}
