package org.heathercourse.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.HexFormat;
import java.util.Optional;
import java.util.random.RandomGenerator;
import javax.inject.Inject;
import org.heathercourse.core.config.ModelSpec;
import org.heathercourse.core.config.RouteSpec;
import org.heathercourse.core.config.ServiceKind;
import org.heathercourse.core.config.ServiceSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.call.Answer;
import org.heathercourse.daemon.call.CallRequest;
import org.heathercourse.daemon.call.CallRouter;
import org.heathercourse.daemon.call.ChatCompletionRequest;
import org.heathercourse.daemon.call.PlainHeaders;
import org.heathercourse.daemon.call.ProgramRouter;
import org.heathercourse.daemon.call.Programs;
import org.heathercourse.daemon.call.Routes;
import org.heathercourse.daemon.config.Authenticator;
import org.heathercourse.daemon.config.Authenticator.Principal;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.limits.RateLimiter;
import org.heathercourse.daemon.state.ShardDirectory;

/** Handles the requests of callers. Safe for use by several threads. */
public final class CallerHandlers {
    private static final long STALE_CONFIGURATION_RETRY_MILLIS = 1_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Names of request attributes that are reported to {@link CallObserver}. */
    static final String SERVICE_ATTRIBUTE = "service";

    static final String WORKSPACE_ATTRIBUTE = "workspace";
    static final String ADMITTED_ATTRIBUTE = "admitted";

    /** Name of the attribute with the identity of a request, for the log. */
    static final String REQUEST_ATTRIBUTE = "request";

    private static final String SERVICES_PATH = "/v1/services/";
    // Covers the round trip in which a new rate share is requested from its grantor.
    private static final long MAX_RATE_WAIT_MILLIS = 1500;
    // Larger bodies of calls that are not logged are streamed and therefore cannot be retried.
    private static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    private final HttpSettings mSettings;
    private final Authenticator mAuthenticator;
    private final RateLimiter mLimiter;
    private final ConfigSource mConfig;
    private final CallRouter mCalls;
    private final ProgramRouter mPrograms;
    private final AddressAdvisor mAdvisor;
    private final Ticker mTicker;
    private final Clock mClock;
    private final RandomGenerator mRandom;

    /** Creates the handlers. */
    @Inject
    public CallerHandlers(
            HttpSettings settings,
            Authenticator authenticator,
            RateLimiter limiter,
            ConfigSource config,
            ShardDirectory shards,
            CallRouter calls,
            ProgramRouter programs,
            Ticker ticker,
            Clock clock,
            RandomGenerator random) {
        mSettings = settings;
        mAuthenticator = authenticator;
        mLimiter = limiter;
        mConfig = config;
        mCalls = calls;
        mPrograms = programs;
        mAdvisor = new AddressAdvisor(shards, random, settings.keepSeconds());
        mTicker = ticker;
        mClock = clock;
        mRandom = random;
    }

    // Time limits. Each method returns the time in milliseconds after which a request ends in any
    // case, apart from the time in which the caller sends its body.

    /** Returns the time limit of a call. */
    static long callLimitMillis(Context context) {
        return CallerRequest.deadlineMillis(
                context.req(), CallerRequest.requestClass(context.req()));
    }

    /** Returns the time limit of a request for the answer of an earlier call. */
    static long resumeLimitMillis(Context context) {
        return CallerRequest.deadlineMillis(context.req(), RequestClass.BATCH);
    }

    /** Returns the time limit of an operation of a program. */
    long operationLimitMillis(Context context) {
        return mPrograms.maxDurationMillis();
    }

    /** Returns the time limit of the start of a program, which may need two operations. */
    long startLimitMillis(Context context) {
        return MAX_RATE_WAIT_MILLIS + 2 * mPrograms.maxDurationMillis();
    }

    // Addresses and models

    // Each handler writes the response and returns the wire name of the error kind, or ok. Errors
    // that occur before the response has started are thrown as HeathercourseException.

    /** Returns recommended daemon addresses; needs no key. */
    String adviseAddress(Context context, boolean draining) throws IOException {
        String zone = context.queryParam("zone");
        zone = zone == null ? context.header("X-Zone") : zone;
        return writeJson(context, 200, mAdvisor.advise(zone, draining).toString());
    }

    /** Lists the declared models. */
    String listModels(Context context) throws IOException {
        authenticate(context);
        ObjectNode root = MAPPER.createObjectNode().put("object", "list");
        ArrayNode data = root.putArray("data");
        for (ServiceSpec service : mConfig.current().services()) {
            for (ModelSpec model : service.models()) {
                data.addObject()
                        .put("id", model.model())
                        .put("object", "model")
                        .put("owned_by", service.service().value());
            }
        }
        return writeJson(context, 200, root.toString());
    }

    private static String writeJson(Context context, int status, String json) throws IOException {
        context.res().setStatus(status);
        context.res().setContentType("application/json");
        context.res().getOutputStream().write(json.getBytes(StandardCharsets.UTF_8));
        return "ok";
    }

    // Programs

    /** Starts a program, optionally as the child of another one. */
    String startProgram(Context context) throws IOException {
        Principal principal = authenticateAndAdmit(context);
        byte[] body = CallerRequest.readBody(context.req(), mSettings.bodyLimitBytes());
        JsonNode arguments = parseObject(body);
        ProgramId program = parseProgramId(arguments, "program");
        ProgramId parent = parseProgramId(arguments, "parent");
        long budget = arguments.path("budget_tokens").asLong(0);
        if (budget < 0 || arguments.has("budget_tokens") && budget == 0) {
            throw HttpErrors.badRequest(
                    "budget_tokens is " + arguments.get("budget_tokens"), "send a number from 1");
        }
        String result = mPrograms.start(principal.workspace(), program, parent, budget);
        context.res().setHeader("X-Program-Id", MAPPER.readTree(result).path("program").asText());
        return writeJson(context, 201, result);
    }

    private static ProgramId parseProgramId(JsonNode arguments, String field) {
        return arguments.hasNonNull(field)
                ? CallerRequest.parse(field, arguments.get(field).asText(), ProgramId::new)
                : null;
    }

    private static JsonNode parseObject(byte[] body) throws IOException {
        if (body.length == 0) {
            return MAPPER.createObjectNode();
        }
        try {
            JsonNode root = MAPPER.readTree(body);
            if (root.isObject()) {
                return root;
            }
            throw HttpErrors.badRequest("the body is not a JSON object", "send a JSON object");
        } catch (JsonProcessingException e) {
            throw HttpErrors.badRequest(
                    "the body is malformed JSON at line "
                            + e.getLocation().getLineNr()
                            + ", column "
                            + e.getLocation().getColumnNr(),
                    "send a JSON object");
        }
    }

    /** Returns the state of a program. */
    String showProgram(Context context) throws IOException {
        Principal principal = authenticate(context);
        return writeJson(
                context,
                200,
                mPrograms.run("show", principal.workspace(), pathProgram(context), "{}"));
    }

    /** Ends a program. */
    String endProgram(Context context) throws IOException {
        Principal principal = authenticate(context);
        String arguments = MAPPER.createObjectNode().put("reason", "completed").toString();
        return writeJson(
                context,
                200,
                mPrograms.run("end", principal.workspace(), pathProgram(context), arguments));
    }

    private static ProgramId pathProgram(Context context) {
        ProgramId program = CallerRequest.parse("program", context.pathParam("id"), ProgramId::new);
        context.res().setHeader("X-Program-Id", program.value());
        return program;
    }

    // Calls

    /** Returns the answer of an earlier call of a program. */
    String resumeAnswer(Context context, DrainGate gate) throws IOException, InterruptedException {
        Principal principal = authenticate(context);
        ProgramId program = pathProgram(context);
        String identity = context.pathParam("request");
        CallRequest call =
                CallRequest.builder(CallRequest.Kind.ATTACH)
                        .workspace(principal.workspace())
                        .program(program)
                        .request(CallerRequest.parse("request", identity, RequestId::new))
                        .deadlineMillis(resumeLimitMillis(context))
                        .build();
        return writeAnswer(context, principal, gate, mCalls.open(call, new byte[0]));
    }

    /** Runs a chat completion call. */
    String completeChat(Context context, DrainGate gate) throws IOException, InterruptedException {
        Principal principal = authenticateAndAdmit(context);
        byte[] body = CallerRequest.readBody(context.req(), mSettings.bodyLimitBytes());
        mConfig.current()
                .serviceOfModel(ChatCompletionRequest.parse(body).model())
                .ifPresent(s -> context.attribute(SERVICE_ATTRIBUTE, s.service()));
        CallRequest call = newCallRequest(context, CallRequest.Kind.MODEL, principal).build();
        return writeAnswer(context, principal, gate, open(call, body, gate));
    }

    /** Runs a call of a plain service. */
    String callService(Context context, DrainGate gate) throws IOException, InterruptedException {
        HttpServletRequest request = context.req();
        ServiceId service =
                CallerRequest.parse("service", context.pathParam("service"), ServiceId::new);
        String prefix = SERVICES_PATH + service.value();
        String rawPath = request.getRequestURI();
        if (!rawPath.startsWith(prefix)) {
            throw HttpErrors.badRequest(
                    "the service name in the path is percent-encoded", "send it unencoded");
        }
        String path = ServicePaths.canonicalize(rawPath.substring(prefix.length()));
        RouteSpec route = findRoute(service, context.method().name(), path);
        context.attribute(SERVICE_ATTRIBUTE, service);
        Principal principal =
                route.openToAll() ? authenticateIfKeyGiven(context) : authenticateAndAdmit(context);
        String key = CallerRequest.key(request);
        String query = request.getQueryString();
        if (query != null && key != null && !key.isEmpty() && query.contains(key)) {
            throw HttpErrors.badRequest(
                    "the query string contains the key",
                    "send the key only in the Authorization header");
        }
        CallRequest call =
                newCallRequest(context, CallRequest.Kind.PLAIN, principal)
                        .service(service)
                        .method(context.method().name())
                        .path(query == null ? path : path + "?" + query)
                        .headers(
                                PlainHeaders.filterRequestHeaders(
                                        CallerRequest.headers(request), key))
                        .build();
        return writeAnswer(context, principal, gate, openCall(call, context, gate));
    }

    private Answer openCall(CallRequest call, Context context, DrainGate gate) throws IOException {
        HttpServletRequest request = context.req();
        long length = request.getContentLengthLong();
        boolean buffered =
                length >= 0 && length <= MAX_BUFFERED_BODY_BYTES
                        || length < 0 && request.getHeader("Transfer-Encoding") == null;
        if (call.ephemeral() && !buffered) {
            gate.requireTime(call.deadlineMillis());
            StreamedBody stream = CallerRequest.limitedBody(request, mSettings.bodyLimitBytes());
            Answer answer = mCalls.openEphemeral(call, null, stream);
            return new StreamedBodyAnswer(answer, stream, request, context.res());
        }
        return open(call, CallerRequest.readBody(request, mSettings.bodyLimitBytes()), gate);
    }

    /** Starts a call unless too little time is left after its body was read. */
    private Answer open(CallRequest call, byte[] body, DrainGate gate) {
        gate.requireTime(call.deadlineMillis());
        return call.ephemeral() ? mCalls.openEphemeral(call, body, null) : mCalls.open(call, body);
    }

    private RouteSpec findRoute(ServiceId service, String method, String path) {
        return mConfig.current()
                .service(service)
                .filter(s -> s.kind() == ServiceKind.PLAIN)
                .flatMap(s -> Routes.match(s, method, path))
                .orElseThrow(() -> routeNotFound(service));
    }

    /**
     * Returns the error for a path without a route. A daemon with a stale configuration returns a
     * retryable error, because the service may be declared in a newer one.
     */
    private HeathercourseException routeNotFound(ServiceId service) {
        if (!mConfig.isFresh() || mConfig.current().revision() == 0) {
            return HeathercourseException.builder(ErrorKind.STALE_CONFIGURATION)
                    .message("service " + service + " is unknown and the configuration is stale")
                    .remedy("retry the request, preferably at another daemon")
                    .retryAfterMillis(STALE_CONFIGURATION_RETRY_MILLIS)
                    .build();
        }
        return new HeathercourseException(
                ErrorKind.UNKNOWN_SERVICE,
                "no route of service " + service + " covers the path",
                "ask the operator to declare it");
    }

    /**
     * Starts a call request from the headers that all calls share and generates missing identities.
     */
    private CallRequest.Builder newCallRequest(
            Context context, CallRequest.Kind kind, Principal principal) {
        HttpServletRequest request = context.req();
        ProgramId program = CallerRequest.program(request);
        RequestId identity = CallerRequest.requestId(request);
        if (program != null && principal == null) {
            throw new HeathercourseException(
                    ErrorKind.UNAUTHENTICATED,
                    "a call of a program has no key",
                    "send Authorization: Bearer <key>");
        }
        RequestClass requestClass = CallerRequest.requestClass(request);
        CallRequest.Builder call =
                CallRequest.builder(kind)
                        .workspace(principal == null ? null : principal.workspace())
                        .requestClass(requestClass)
                        .deadlineMillis(CallerRequest.deadlineMillis(request, requestClass))
                        .historyMode(CallerRequest.historyMode(request))
                        .createdSeconds(mClock.instant().getEpochSecond());
        String answerRequestId;
        if (program == null && identity == null) {
            answerRequestId = "e." + randomId();
        } else {
            boolean oneCall = program == null;
            RequestId requestId = identity == null ? new RequestId("auto." + randomId()) : identity;
            ProgramId programId =
                    oneCall
                            ? Programs.oneCallProgramId(workspaceOf(principal), requestId)
                            : program;
            call.program(programId).request(requestId).oneCall(oneCall);
            context.res().setHeader("X-Program-Id", programId.value());
            answerRequestId = requestId.value();
        }
        context.res().setHeader("X-Request-Id", answerRequestId);
        context.attribute(REQUEST_ATTRIBUTE, answerRequestId);
        return call;
    }

    private static WorkspaceId workspaceOf(Principal principal) {
        return principal == null ? null : principal.workspace();
    }

    private String randomId() {
        byte[] bytes = new byte[12];
        mRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private String writeAnswer(Context context, Principal principal, DrainGate gate, Answer answer)
            throws IOException, InterruptedException {
        return new AnswerWriter(
                        context.req(),
                        context.res(),
                        answer,
                        () -> gate.cutOff().or(() -> recheckKey(principal)),
                        mTicker,
                        mSettings.idleTimeoutMillis())
                .write();
    }

    /**
     * Returns an error if the key of a running call is no longer valid. The call continues, so the
     * error does not state that the request was not run.
     */
    private Optional<HeathercourseException> recheckKey(Principal principal) {
        return Optional.ofNullable(principal)
                .flatMap(mAuthenticator::recheck)
                .map(
                        refusal ->
                                HeathercourseException.builder(refusal.kind())
                                        .message(refusal.getMessage() + " (during the call)")
                                        .remedy(
                                                "read the answer with the same request identity"
                                                        + " and a valid key")
                                        .notRun(false)
                                        .build());
    }

    // Authentication and rate limit

    /** Authenticates the caller; throws if it has no valid key. */
    private Principal authenticate(Context context) {
        Principal principal =
                mAuthenticator
                        .authenticate(context.req().getHeader("Authorization"))
                        .getOrElseThrow(e -> e);
        context.attribute(WORKSPACE_ATTRIBUTE, principal.workspace());
        return principal;
    }

    /** Authenticates the caller and acquires a request from the rate limit of its workspace. */
    private Principal authenticateAndAdmit(Context context) {
        Principal principal = authenticate(context);
        mLimiter.acquire(principal.workspace(), MAX_RATE_WAIT_MILLIS).getOrElseThrow(e -> e);
        context.attribute(ADMITTED_ATTRIBUTE, true);
        return principal;
    }

    /**
     * Returns the principal of a request on a route open to all, or null if it has no valid key.
     */
    private Principal authenticateIfKeyGiven(Context context) {
        String authorization = context.req().getHeader("Authorization");
        return authorization == null
                ? null
                : mAuthenticator.authenticate(authorization).getOrNull();
    }
}
