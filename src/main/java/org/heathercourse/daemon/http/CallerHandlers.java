package org.heathercourse.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import java.io.InputStream;
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

/** Answers the requests of callers. Safe for use by several threads. */
public final class CallerHandlers {
    private static final long STALE_RETRY_MILLIS = 1_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Attributes of a request that {@link CallObserver} is told. */
    static final String SERVICE = "service";

    static final String WORKSPACE = "workspace";
    static final String ADMITTED = "admitted";

    private static final String SERVICES = "/v1/services/";
    // A new share arrives within one round trip to its grantor.
    private static final long SHARE_WAIT_MILLIS = 1500;
    // Longer bodies of calls that are not logged are streamed and therefore not repeated.
    private static final int BUFFERED_BODY_BYTES = 64 * 1024;

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

    // Directory routes

    String address(Context context, boolean draining) throws IOException {
        String zone = context.queryParam("zone");
        zone = zone == null ? context.header("X-Zone") : zone;
        return json(context, 200, mAdvisor.advise(zone, draining).toString());
    }

    String models(Context context) throws IOException {
        principal(context);
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
        return json(context, 200, root.toString());
    }

    private static String json(Context context, int status, String json) throws IOException {
        context.res().setStatus(status);
        context.res().setContentType("application/json");
        context.res().getOutputStream().write(json.getBytes(StandardCharsets.UTF_8));
        return "ok";
    }

    // Programs

    String startProgram(Context context) throws IOException {
        Principal principal = admitted(context);
        byte[] body = CallerRequest.body(context.req(), mSettings.bodyLimitBytes());
        JsonNode arguments = object(body);
        ProgramId program = identity(arguments, "program");
        ProgramId parent = identity(arguments, "parent");
        long budget = arguments.path("budget_tokens").asLong(0);
        if (budget < 0 || arguments.has("budget_tokens") && budget == 0) {
            throw HttpErrors.badRequest(
                    "budget_tokens is " + arguments.get("budget_tokens"), "send a number from 1");
        }
        String result = mPrograms.start(principal.workspace(), program, parent, budget);
        context.res().setHeader("X-Program-Id", MAPPER.readTree(result).path("program").asText());
        return json(context, 201, result);
    }

    private static ProgramId identity(JsonNode arguments, String field) {
        return arguments.hasNonNull(field)
                ? CallerRequest.parse(field, arguments.get(field).asText(), ProgramId::new)
                : null;
    }

    private static JsonNode object(byte[] body) throws IOException {
        if (body.length == 0) {
            return MAPPER.createObjectNode();
        }
        try {
            JsonNode root = MAPPER.readTree(body);
            if (root.isObject()) {
                return root;
            }
            throw HttpErrors.badRequest("the body is no JSON object", "send a JSON object");
        } catch (JsonProcessingException e) {
            throw HttpErrors.badRequest(
                    "the body is no JSON at line "
                            + e.getLocation().getLineNr()
                            + ", column "
                            + e.getLocation().getColumnNr(),
                    "send a JSON object");
        }
    }

    String showProgram(Context context) throws IOException {
        Principal principal = principal(context);
        return json(
                context,
                200,
                mPrograms.run("show", principal.workspace(), programInPath(context), "{}"));
    }

    String endProgram(Context context) throws IOException {
        Principal principal = principal(context);
        String arguments = MAPPER.createObjectNode().put("reason", "completed").toString();
        return json(
                context,
                200,
                mPrograms.run("end", principal.workspace(), programInPath(context), arguments));
    }

    private static ProgramId programInPath(Context context) {
        ProgramId program = CallerRequest.parse("program", context.pathParam("id"), ProgramId::new);
        context.res().setHeader("X-Program-Id", program.value());
        return program;
    }

    // Calls

    String resume(Context context) throws IOException, InterruptedException {
        Principal principal = principal(context);
        ProgramId program = programInPath(context);
        String identity = context.pathParam("request");
        CallRequest call =
                CallRequest.builder(CallRequest.Kind.ATTACH)
                        .workspace(principal.workspace())
                        .program(program)
                        .request(CallerRequest.parse("request", identity, RequestId::new))
                        .deadlineMillis(
                                CallerRequest.deadlineMillis(context.req(), RequestClass.BATCH))
                        .build();
        return write(context, principal, mCalls.open(call, new byte[0]));
    }

    String chat(Context context) throws IOException, InterruptedException {
        Principal principal = admitted(context);
        byte[] body = CallerRequest.body(context.req(), mSettings.bodyLimitBytes());
        mConfig.current()
                .serviceOfModel(ChatCompletionRequest.parse(body).model())
                .ifPresent(s -> context.attribute(SERVICE, s.service()));
        CallRequest call = common(context, CallRequest.Kind.MODEL, principal).build();
        Answer answer =
                call.ephemeral() ? mCalls.openEphemeral(call, body, null) : mCalls.open(call, body);
        return write(context, principal, answer);
    }

    String service(Context context) throws IOException, InterruptedException {
        HttpServletRequest request = context.req();
        ServiceId service =
                CallerRequest.parse("service", context.pathParam("service"), ServiceId::new);
        String prefix = SERVICES + service.value();
        String raw = request.getRequestURI();
        if (!raw.startsWith(prefix)) {
            throw HttpErrors.badRequest("the service in the path is escaped", "send it plainly");
        }
        String path = ServicePaths.canonical(raw.substring(prefix.length()));
        RouteSpec route = route(service, context.method().name(), path);
        context.attribute(SERVICE, service);
        Principal principal = route.openToAll() ? optional(context) : admitted(context);
        String key = CallerRequest.key(request);
        String query = request.getQueryString();
        if (query != null && key != null && !key.isEmpty() && query.contains(key)) {
            throw HttpErrors.badRequest(
                    "the query contains the key", "send the key in Authorization only");
        }
        CallRequest call =
                common(context, CallRequest.Kind.PLAIN, principal)
                        .service(service)
                        .method(context.method().name())
                        .path(query == null ? path : path + "?" + query)
                        .headers(
                                PlainHeaders.filterRequestHeaders(
                                        CallerRequest.headers(request), key))
                        .build();
        return write(context, principal, open(call, request));
    }

    private Answer open(CallRequest call, HttpServletRequest request) throws IOException {
        long length = request.getContentLengthLong();
        boolean small =
                length >= 0 && length <= BUFFERED_BODY_BYTES
                        || length < 0 && request.getHeader("Transfer-Encoding") == null;
        if (call.ephemeral() && !small) {
            InputStream stream = CallerRequest.stream(request, mSettings.bodyLimitBytes());
            return mCalls.openEphemeral(call, null, stream);
        }
        byte[] body = CallerRequest.body(request, mSettings.bodyLimitBytes());
        return call.ephemeral() ? mCalls.openEphemeral(call, body, null) : mCalls.open(call, body);
    }

    private RouteSpec route(ServiceId service, String method, String path) {
        return mConfig.current()
                .service(service)
                .filter(s -> s.kind() == ServiceKind.PLAIN)
                .flatMap(s -> Routes.match(s, method, path))
                .orElseThrow(() -> noRoute(service));
    }

    /** A daemon whose configuration may be old cannot tell that a service is not declared. */
    private HeathercourseException noRoute(ServiceId service) {
        if (!mConfig.isFresh() || mConfig.current().revision() == 0) {
            return HeathercourseException.builder(ErrorKind.STALE_CONFIGURATION)
                    .message("service " + service + " is not known and the configuration is old")
                    .remedy("repeat the request, at another daemon if you can")
                    .retryAfterMillis(STALE_RETRY_MILLIS)
                    .build();
        }
        return new HeathercourseException(
                ErrorKind.UNKNOWN_SERVICE,
                "no route of service " + service + " covers the path",
                "ask the operator to declare it");
    }

    /** Reads what all calls have in common, and completes their identities. */
    private CallRequest.Builder common(
            Context context, CallRequest.Kind kind, Principal principal) {
        HttpServletRequest request = context.req();
        ProgramId program = CallerRequest.program(request);
        RequestId identity = CallerRequest.identity(request);
        if (program != null && principal == null) {
            throw new HeathercourseException(
                    ErrorKind.UNAUTHENTICATED,
                    "a call of a program came without a key",
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
        String shown;
        if (program == null && identity == null) {
            shown = "e." + random();
        } else {
            boolean oneCall = program == null;
            RequestId named = identity == null ? new RequestId("auto." + random()) : identity;
            ProgramId of =
                    oneCall ? Programs.oneCallProgramId(workspace(principal), named) : program;
            call.program(of).request(named).oneCall(oneCall);
            context.res().setHeader("X-Program-Id", of.value());
            shown = named.value();
        }
        context.res().setHeader("X-Request-Id", shown);
        return call;
    }

    private static WorkspaceId workspace(Principal principal) {
        return principal == null ? null : principal.workspace();
    }

    private String random() {
        byte[] bytes = new byte[12];
        mRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private String write(Context context, Principal principal, Answer answer)
            throws IOException, InterruptedException {
        return new AnswerWriter(
                        context.req(),
                        context.res(),
                        answer,
                        () ->
                                principal == null
                                        ? Optional.empty()
                                        : mAuthenticator.recheck(principal),
                        mTicker)
                .write();
    }

    // Keys and rates

    private Principal principal(Context context) {
        Principal principal =
                mAuthenticator
                        .authenticate(context.req().getHeader("Authorization"))
                        .getOrElseThrow(e -> e);
        context.attribute(WORKSPACE, principal.workspace());
        return principal;
    }

    private Principal admitted(Context context) {
        Principal principal = principal(context);
        mLimiter.acquire(principal.workspace(), SHARE_WAIT_MILLIS).getOrElseThrow(e -> e);
        context.attribute(ADMITTED, true);
        return principal;
    }

    /** Returns the principal of a request on a route open to all, or null without a valid key. */
    private Principal optional(Context context) {
        String authorization = context.req().getHeader("Authorization");
        return authorization == null
                ? null
                : mAuthenticator.authenticate(authorization).getOrNull();
    }
}
