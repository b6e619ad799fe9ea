package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;

/**
 * The HTTP interface of a simulated model engine. Its state is confined to one event loop, to which
 * requests are handed over. Thread-safe.
 */
final class EngineStandIn implements HttpPort.Handler {
    private static final EventLog LOG = EventLog.of(EngineStandIn.class);

    private final String mId;
    private final EventLoop mLoop;
    private final FaultSwitches mFaults;
    private final EngineSettings mSettings;
    private final EngineFleet mFleet;
    private final PrefixCache mCache;
    private final EngineBatch mBatch;
    private final LoadReports mReports;
    private final boolean mChecksFence;
    private final TreeSet<String> mModels;
    private final TreeSet<String> mUnloadedModels = new TreeSet<>();
    private final TreeSet<String> mAdapters = new TreeSet<>();
    private String mRole = "any";
    private long mHighestFence = Long.MIN_VALUE;

    EngineStandIn(
            String id,
            EventLoop loop,
            Ticker ticker,
            FaultSwitches faults,
            EngineSettings settings,
            EngineFleet fleet,
            boolean checksFence) {
        mId = id;
        mLoop = loop;
        mFaults = faults;
        mSettings = settings;
        mFleet = fleet;
        mChecksFence = checksFence;
        mModels = new TreeSet<>(settings.models());
        mCache = new PrefixCache(ticker, faults, settings.cacheTokens());
        fleet.add(mCache);
        mBatch = new EngineBatch(loop, ticker, faults, settings, fleet, mCache);
        mReports = new LoadReports(ticker, faults, settings.lagMillis());
    }

    /** Starts the load reports. */
    void start() {
        // The first load request needs a report.
        mLoop.execute(() -> mReports.add(currentLoad()));
        long periodMillis = Math.max(20, mSettings.lagMillis() / 4);
        mLoop.scheduleAtFixedRate(
                () -> mReports.add(currentLoad()),
                periodMillis,
                periodMillis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void onRequestHead(Exchange exchange) {
        // Polls of load and cache are not recorded, as they would fill the list of arrivals.
        if (exchange.path().equals("/v1/chat/completions") || exchange.path().equals("/orders")) {
            mFleet.accounting().recordArrival(mId, exchange);
        } else {
            mFleet.accounting().scanHead(exchange);
        }
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        mFleet.accounting().scanBody(exchange.body());
        JsonNode body =
                exchange.body().length == 0 ? Exchange.JSON.createObjectNode() : exchange.json();
        // Prompts are hashed on the event loop of the connection: hashing the long histories of
        // all callers would block the event loop of the engine.
        Prompt prompt = null;
        if (exchange.path().equals("/v1/chat/completions")) {
            prompt = Prompt.of(body.path("messages"));
            mFleet.accounting().addPromptToArrival(exchange, prompt);
        }
        submit(exchange, body, prompt);
    }

    private void submit(Exchange exchange, JsonNode body, Prompt prompt) {
        mLoop.execute(() -> route(exchange, body, prompt));
    }

    @Override
    public boolean hasSideEffects(Exchange exchange) {
        return !exchange.method().equals("GET");
    }

    /** Adds the counters to the statistics. */
    void addTo(ObjectNode stats) {
        stats.withObject("/held_cache_tokens").put(mId, mCache.usedTokens());
        mBatch.addTo(stats.withObject("/engines").putObject(mId));
    }

    private void route(Exchange exchange, JsonNode body, Prompt prompt) {
        try {
            routeChecked(exchange, body, prompt);
        } catch (IllegalArgumentException e) {
            exchange.error(400, "bad request: " + e.getMessage(), true);
        } catch (RuntimeException e) {
            LOG.error("engine_failed", e, "engine", mId, "path", exchange.path());
            exchange.error(500, "stand-in failed: " + e, false);
        }
    }

    private void routeChecked(Exchange exchange, JsonNode body, Prompt prompt) {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /v1/chat/completions" -> generate(exchange, body, prompt);
            case "GET /v1/models" -> exchange.reply(200, models());
            case "GET /load" -> exchange.reply(200, mReports.visibleReport());
            case "GET /cache/events" -> exchange.reply(200, events(exchange));
            case "GET /cache/sessions" -> exchange.reply(200, sessions());
            case "DELETE /cache/sessions" -> {
                mCache.release(exchange.query("session"));
                exchange.reply(200, Exchange.JSON.createObjectNode());
            }
            case "POST /cache/export" -> exportCache(exchange, body);
            case "POST /cache/import" -> importCache(exchange, body);
            case "POST /orders" -> executeOrder(exchange, body);
            default -> exchange.error(404, "no such path: " + exchange.path(), true);
        }
    }

    // ---- Generation ----

    private void generate(Exchange exchange, JsonNode body, Prompt prompt) {
        String model = body.path("model").asText();
        boolean accepted = mSettings.models().isEmpty() || mModels.contains(model);
        if (!accepted || mUnloadedModels.contains(model)) {
            exchange.error(404, "model " + model + " is not loaded", true);
            return;
        }
        mBatch.submit(exchange, body, prompt);
    }

    private ObjectNode models() {
        ObjectNode json = Exchange.JSON.createObjectNode().put("object", "list");
        ArrayNode data = json.putArray("data");
        for (String model : mModels) {
            data.addObject().put("id", model).put("object", "model").put("owned_by", mId);
        }
        return json;
    }

    private ObjectNode currentLoad() {
        ObjectNode load = mBatch.load();
        load.put("cache_used_tokens", mCache.usedTokens());
        load.put("cache_capacity_tokens", mCache.capacityTokens());
        load.put("role", mRole);
        ArrayNode models = load.putArray("models");
        mModels.forEach(models::add);
        ArrayNode adapters = load.putArray("adapters");
        mAdapters.forEach(adapters::add);
        return load;
    }

    // ---- Cache ----

    private ObjectNode events(Exchange exchange) {
        long lagMillis = (long) mFaults.peek(Fault.LAG_MS).orElse(mSettings.lagMillis());
        ObjectNode json = Exchange.JSON.createObjectNode();
        ArrayNode events = json.putArray("events");
        for (PrefixCache.Event event : mCache.events(exchange.longQuery("after", 0), lagMillis)) {
            events.addObject()
                    .put("sequence", event.sequence())
                    .put("session", event.session())
                    .put("cached_tokens", event.cachedTokens());
        }
        return json;
    }

    private ObjectNode sessions() {
        ObjectNode json = Exchange.JSON.createObjectNode();
        ArrayNode sessions = json.putArray("sessions");
        mCache.sessions().forEach(sessions::add);
        return json;
    }

    private void exportCache(Exchange exchange, JsonNode body) {
        PrefixCache.Conversation conversation = mCache.get(body.path("session").asText());
        if (conversation == null) {
            exchange.error(404, "session is not cached", true);
            return;
        }
        ObjectNode json = Exchange.JSON.createObjectNode();
        json.put("handle", mFleet.export(conversation)).put("tokens", conversation.totalTokens());
        exchange.reply(200, json);
    }

    private void importCache(Exchange exchange, JsonNode body) {
        PrefixCache.Conversation imported = mFleet.removeExport(body.path("handle").asText());
        if (imported == null) {
            exchange.error(404, "no export with this handle", true);
            return;
        }
        // Copying a cache takes a tenth of the time to compute it.
        double millis = imported.totalTokens() * 100.0 / mSettings.prefillTokensPerSecond();
        mLoop.schedule(
                () -> {
                    mCache.put(body.path("session").asText(), imported);
                    mFleet.accounting().add("migrated_tokens", imported.totalTokens());
                    exchange.reply(
                            200,
                            Exchange.JSON.createObjectNode().put("tokens", imported.totalTokens()));
                },
                (long) (millis * 1_000_000),
                TimeUnit.NANOSECONDS);
    }

    // ---- Orders ----

    private void executeOrder(Exchange exchange, JsonNode body) {
        long fence = exchange.longHeader("X-Fencing-Token", body.path("fence").asLong());
        boolean stale = fence < mHighestFence;
        boolean fenceIgnored = !mChecksFence || mFaults.consume(Fault.IGNORE_FENCING).isPresent();
        if (stale && !fenceIgnored) {
            mFleet.accounting().increment("refused_orders");
            exchange.error(
                    409,
                    "fencing number is " + fence + ", expected at least " + mHighestFence,
                    true);
            return;
        }
        if (stale) {
            mFleet.accounting().increment("stale_orders");
        }
        mHighestFence = Math.max(mHighestFence, fence);
        String subject = body.path("subject").asText();
        switch (body.path("kind").asText()) {
            case "load_model" -> fetchWeights(() -> addModel(subject));
            case "load_adapter" -> fetchWeights(() -> mAdapters.add(subject));
            case "unload_model" -> {
                mModels.remove(subject);
                mUnloadedModels.add(subject);
            }
            case "set_role" -> mRole = subject;
            default -> {
                exchange.error(400, "unknown order kind: " + body.path("kind").asText(), true);
                return;
            }
        }
        mFleet.accounting().increment("orders");
        exchange.reply(200, Exchange.JSON.createObjectNode().put("accepted", true));
    }

    private void fetchWeights(Runnable onFetched) {
        mLoop.schedule(
                () -> {
                    mFleet.weights().endFetch();
                    onFetched.run();
                },
                mFleet.weights().startFetch(),
                TimeUnit.NANOSECONDS);
    }

    private void addModel(String model) {
        mModels.add(model);
        mUnloadedModels.remove(model);
    }
}
