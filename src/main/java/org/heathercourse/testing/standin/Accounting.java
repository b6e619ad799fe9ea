package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.heathercourse.core.time.Ticker;

/**
 * Records what all targets of the process received: histories, token spending, effects, leaked keys
 * and arrivals. These counters alone decide whether a guarantee of the scheduler was violated.
 * Thread-safe.
 */
final class Accounting {
    private static final Pattern KEY = Pattern.compile("hc_[A-Za-z]");
    private static final List<String> NON_IDEMPOTENT_PATHS =
            List.of("/orders", "/invoices", "/confirmations");

    private final Ticker mTicker;
    private final long mStartMillis;
    private final Map<String, ProgramAccount> mPrograms = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> mCounters = new ConcurrentHashMap<>();
    private final List<Arrival> mArrivals = new ArrayList<>();
    private final List<Effect> mEffects = new ArrayList<>();
    private final Set<String> mEffectKeys = new HashSet<>();

    /** A request that reached a target; {@code turn} is -1 if the request carries no prompt. */
    private record Arrival(
            String target,
            long atMillis,
            String workspace,
            String program,
            int turn,
            String request,
            String method,
            String path) {
        Arrival withPrompt(Prompt prompt) {
            return new Arrival(
                    target,
                    atMillis,
                    workspace,
                    prompt.program(),
                    prompt.turn(),
                    request,
                    method,
                    path);
        }
    }

    /** A request with a request id that a plain service executed. */
    private record Effect(
            String target,
            long atMillis,
            String workspace,
            String program,
            String request,
            String path,
            boolean duplicate) {}

    /** Answers and spending of one program at all engines. Guarded by its own monitor. */
    private static final class ProgramAccount {
        private final Map<Integer, Set<Long>> mAnswerHashesByTurn = new HashMap<>();
        private final Set<Integer> mSeenTurns = new HashSet<>();
        private final Map<String, Long> mChargedTokensByCall = new HashMap<>();
        private long mSpentTokens;
        private boolean mOverBudget;
    }

    Accounting(Ticker ticker) {
        mTicker = ticker;
        mStartMillis = ticker.readMillis();
        for (String name :
                List.of(
                        "lost_history",
                        "mixed_history",
                        "out_of_order",
                        "repeated_turns",
                        "resumed_calls",
                        "over_budget",
                        "leaked_keys",
                        "duplicate_side_effects",
                        "effects",
                        "unmarked_prompts",
                        "answered_turns",
                        "prompt_tokens",
                        "completion_tokens")) {
            mCounters.put(name, new AtomicLong());
        }
    }

    long nowMillis() {
        return mTicker.readMillis() - mStartMillis;
    }

    void increment(String counter) {
        add(counter, 1);
    }

    void add(String counter, long amount) {
        mCounters.computeIfAbsent(counter, c -> new AtomicLong()).addAndGet(amount);
    }

    // ---- Engines ----

    /** Counts violations in the history of a new call, and repeated or resumed turns. */
    void checkPrompt(Prompt prompt, boolean resumed) {
        if (prompt.hasForeignMarkers()) {
            increment("mixed_history");
        }
        if (prompt.program() == null) {
            increment("unmarked_prompts");
            return;
        }
        ProgramAccount account = account(prompt.program());
        synchronized (account) {
            if (resumed) {
                increment("resumed_calls");
            } else if (!account.mSeenTurns.add(prompt.turn())) {
                increment("repeated_turns");
            }
            account.mSeenTurns.add(prompt.turn());
            if (!earlierTurnsAnswered(account, prompt.turn())) {
                increment("out_of_order");
                System.err.println(
                        "out_of_order program=" + prompt.program() + " turn=" + prompt.turn());
            }
            if (!historyMatches(account, prompt)) {
                increment("lost_history");
                System.err.println(
                        "lost_history program=" + prompt.program() + " turn=" + prompt.turn());
            }
        }
    }

    /** Records the hash of an answer that was generated completely. */
    void recordAnswer(Prompt prompt, long answerHash) {
        if (prompt.program() == null) {
            return;
        }
        ProgramAccount account = account(prompt.program());
        synchronized (account) {
            account.mAnswerHashesByTurn
                    .computeIfAbsent(prompt.turn(), t -> new HashSet<>())
                    .add(answerHash);
        }
        increment("answered_turns");
    }

    /**
     * Charges the tokens of a call to its program. A resumed call is charged once, with the largest
     * token count of its attempts.
     */
    void charge(Prompt prompt, String callId, long completionTokens) {
        long tokens = prompt.tokens() + completionTokens;
        if (prompt.program() == null) {
            return;
        }
        ProgramAccount account = account(prompt.program());
        synchronized (account) {
            long chargedTokens = account.mChargedTokensByCall.getOrDefault(callId, 0L);
            if (tokens > chargedTokens) {
                account.mChargedTokensByCall.put(callId, tokens);
                account.mSpentTokens += tokens - chargedTokens;
            }
            if (account.mSpentTokens > prompt.budgetTokens() && !account.mOverBudget) {
                account.mOverBudget = true;
                increment("over_budget");
            }
        }
    }

    private ProgramAccount account(String program) {
        return mPrograms.computeIfAbsent(program, p -> new ProgramAccount());
    }

    private static boolean earlierTurnsAnswered(ProgramAccount account, int turn) {
        for (int earlierTurn = 0; earlierTurn < turn; earlierTurn++) {
            if (!account.mAnswerHashesByTurn.containsKey(earlierTurn)) {
                return false;
            }
        }
        return true;
    }

    private static boolean historyMatches(ProgramAccount account, Prompt prompt) {
        if (!prompt.turnsInOrder() || prompt.answerHashes().size() != prompt.turn()) {
            return false;
        }
        for (int turn = 0; turn < prompt.turn(); turn++) {
            Set<Long> generatedHashes = account.mAnswerHashesByTurn.get(turn);
            if (generatedHashes == null
                    || !generatedHashes.contains(prompt.answerHashes().get(turn))) {
                return false;
            }
        }
        return true;
    }

    // ---- All targets ----

    /** Records the arrival of a request and scans its URI and headers for keys. */
    void recordArrival(String target, Exchange exchange) {
        Arrival arrival =
                new Arrival(
                        target,
                        nowMillis(),
                        exchange.header("X-Workspace-Id"),
                        exchange.header("X-Program-Id"),
                        -1,
                        exchange.header("X-Request-Id"),
                        exchange.method(),
                        exchange.path());
        synchronized (mArrivals) {
            exchange.setArrivalIndex(mArrivals.size());
            mArrivals.add(arrival);
        }
        scanHead(exchange);
    }

    /** Adds the program and turn of a prompt to a recorded arrival. */
    void addPromptToArrival(Exchange exchange, Prompt prompt) {
        if (prompt.program() == null || exchange.arrivalIndex() < 0) {
            return;
        }
        synchronized (mArrivals) {
            mArrivals.set(
                    exchange.arrivalIndex(),
                    mArrivals.get(exchange.arrivalIndex()).withPrompt(prompt));
        }
    }

    /** Scans the URI and headers of a request for keys. */
    void scanHead(Exchange exchange) {
        StringBuilder head = new StringBuilder(exchange.uri()).append('\n');
        head.append(urlDecode(exchange.uri())).append('\n');
        exchange.headers().forEach(h -> head.append(h.getValue()).append('\n'));
        if (KEY.matcher(head).find()) {
            increment("leaked_keys");
        }
    }

    /** Scans a body for keys. */
    void scanBody(byte[] body) {
        if (containsKey(body)) {
            increment("leaked_keys");
        }
    }

    /** Scans a chunk of a streamed body for keys, including keys that span two chunks. */
    void scanChunk(Exchange exchange, ByteBuf chunk) {
        byte[] previousTail = exchange.scannedTail();
        byte[] bytes = Arrays.copyOf(previousTail, previousTail.length + chunk.readableBytes());
        chunk.getBytes(chunk.readerIndex(), bytes, previousTail.length, chunk.readableBytes());
        scanBody(bytes);
        // The tail is one byte shorter than the shortest match, so no match is counted twice.
        exchange.setScannedTail(
                Arrays.copyOfRange(bytes, Math.max(0, bytes.length - 3), bytes.length));
    }

    private static boolean containsKey(byte[] body) {
        for (int i = 0; i + 3 < body.length; i++) {
            if (body[i] == 'h'
                    && body[i + 1] == 'c'
                    && body[i + 2] == '_'
                    && (body[i + 3] | 0x20) >= 'a'
                    && (body[i + 3] | 0x20) <= 'z') {
                return true;
            }
        }
        return false;
    }

    private static String urlDecode(String uri) {
        try {
            return URLDecoder.decode(uri, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return uri;
        }
    }

    // ---- Plain services ----

    /**
     * Records the effect of a request and counts it as a duplicate if the request is non-idempotent
     * and its id was executed before.
     *
     * @return the number of the effect, starting at 1
     */
    long recordEffect(String target, Exchange exchange) {
        String program = exchange.header("X-Program-Id");
        String request = exchange.header("X-Request-Id");
        String path = exchange.path();
        String owner = program == null ? "workspace/" + exchange.header("X-Workspace-Id") : program;
        synchronized (mEffects) {
            boolean duplicate =
                    NON_IDEMPOTENT_PATHS.stream()
                                    .anyMatch(p -> path.equals(p) || path.startsWith(p + "/"))
                            && !mEffectKeys.add(owner + "\n" + request);
            mEffects.add(
                    new Effect(
                            target,
                            nowMillis(),
                            exchange.header("X-Workspace-Id"),
                            program,
                            request,
                            path,
                            duplicate));
            increment("effects");
            if (duplicate) {
                increment("duplicate_side_effects");
            }
            return mEffects.size();
        }
    }

    // ---- Reports ----

    void addTo(ObjectNode stats) {
        mCounters.forEach((name, value) -> stats.put(name, value.get()));
        stats.put("programs", mPrograms.size());
        stats.put("now_ms", nowMillis());
        synchronized (mArrivals) {
            stats.put("arrivals", mArrivals.size());
        }
    }

    ObjectNode effects() {
        ObjectNode result = Exchange.JSON.createObjectNode();
        ArrayNode list = result.putArray("effects");
        synchronized (mEffects) {
            for (int i = 0; i < mEffects.size(); i++) {
                Effect effect = mEffects.get(i);
                list.addObject()
                        .put("number", i + 1)
                        .put("target", effect.target())
                        .put("at_ms", effect.atMillis())
                        .put("workspace", effect.workspace())
                        .put("program", effect.program())
                        .put("request", effect.request())
                        .put("path", effect.path())
                        .put("duplicate", effect.duplicate());
            }
        }
        return result;
    }

    /** Returns up to 10,000 arrivals whose number is greater than {@code since}. */
    ObjectNode arrivals(long since) {
        ObjectNode result = Exchange.JSON.createObjectNode();
        ArrayNode list = result.putArray("arrivals");
        int last;
        synchronized (mArrivals) {
            last = (int) Math.min(mArrivals.size(), since + 10_000);
            for (int i = (int) since; i < last; i++) {
                Arrival arrival = mArrivals.get(i);
                list.addObject()
                        .put("number", i + 1)
                        .put("target", arrival.target())
                        .put("at_ms", arrival.atMillis())
                        .put("workspace", arrival.workspace())
                        .put("program", arrival.program())
                        .put("turn", arrival.turn())
                        .put("request", arrival.request())
                        .put("method", arrival.method())
                        .put("path", arrival.path());
            }
        }
        result.put("last", Math.max(last, since));
        result.put("now_ms", nowMillis());
        return result;
    }
}
