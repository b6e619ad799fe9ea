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
 * What all targets of the process saw: histories, budgets, effects, leaked keys and arrivals.
 * Violations of the promises are judged by these counters only. Safe for use by several threads.
 */
final class Accounting {
    private static final Pattern KEY = Pattern.compile("hc_[A-Za-z]");
    private static final List<String> NOT_REPEATABLE =
            List.of("/orders", "/invoices", "/confirmations");

    private final Ticker mTicker;
    private final long mOriginMillis;
    private final Map<String, ProgramAccount> mPrograms = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> mCounters = new ConcurrentHashMap<>();
    private final List<Arrival> mArrivals = new ArrayList<>();
    private final List<Effect> mEffects = new ArrayList<>();
    private final Set<String> mEffectKeys = new HashSet<>();

    /** A request that reached a target; the turn is -1 if it is not known. */
    private record Arrival(
            String target,
            long atMillis,
            String workspace,
            String program,
            int turn,
            String request,
            String method,
            String path) {
        Arrival with(Prompt prompt) {
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

    /** An effect at a plain service. */
    private record Effect(
            String target,
            long atMillis,
            String workspace,
            String program,
            String request,
            String path,
            boolean duplicate) {}

    /** What the engines know of one program. Guarded by itself. */
    private static final class ProgramAccount {
        private final Map<Integer, Set<Long>> mAnswers = new HashMap<>();
        private final Set<Integer> mSeenTurns = new HashSet<>();
        private final Map<String, Long> mChargedByCall = new HashMap<>();
        private long mSpent;
        private boolean mOverBudget;
    }

    Accounting(Ticker ticker) {
        mTicker = ticker;
        mOriginMillis = ticker.readMillis();
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
        return mTicker.readMillis() - mOriginMillis;
    }

    void count(String counter) {
        add(counter, 1);
    }

    void add(String counter, long amount) {
        mCounters.computeIfAbsent(counter, c -> new AtomicLong()).addAndGet(amount);
    }

    // ---- Engines ----

    /** Checks the history of a new call. */
    void checkPrompt(Prompt prompt, boolean resumed) {
        if (prompt.foreignMarkers()) {
            count("mixed_history");
        }
        if (prompt.program() == null) {
            count("unmarked_prompts");
            return;
        }
        ProgramAccount account = account(prompt.program());
        synchronized (account) {
            if (resumed) {
                count("resumed_calls");
            } else if (!account.mSeenTurns.add(prompt.turn())) {
                count("repeated_turns");
            }
            account.mSeenTurns.add(prompt.turn());
            if (!allAnswered(account, prompt.turn())) {
                count("out_of_order");
                System.err.println(
                        "out_of_order program=" + prompt.program() + " turn=" + prompt.turn());
            }
            if (!historyMatches(account, prompt)) {
                count("lost_history");
                System.err.println(
                        "lost_history program=" + prompt.program() + " turn=" + prompt.turn());
            }
        }
    }

    /** Records that the whole answer of a turn was generated. */
    void answered(Prompt prompt, long answerHash) {
        if (prompt.program() == null) {
            return;
        }
        ProgramAccount account = account(prompt.program());
        synchronized (account) {
            account.mAnswers.computeIfAbsent(prompt.turn(), t -> new HashSet<>()).add(answerHash);
        }
        count("answered_turns");
    }

    /**
     * Charges a call. A call that is resumed is charged once, with the largest number of tokens
     * seen.
     */
    void charge(Prompt prompt, String callId, long completionTokens) {
        long tokens = prompt.tokens() + completionTokens;
        if (prompt.program() == null) {
            return;
        }
        ProgramAccount account = account(prompt.program());
        synchronized (account) {
            long charged = account.mChargedByCall.getOrDefault(callId, 0L);
            if (tokens > charged) {
                account.mChargedByCall.put(callId, tokens);
                account.mSpent += tokens - charged;
            }
            if (account.mSpent > prompt.budget() && !account.mOverBudget) {
                account.mOverBudget = true;
                count("over_budget");
            }
        }
    }

    private ProgramAccount account(String program) {
        return mPrograms.computeIfAbsent(program, p -> new ProgramAccount());
    }

    private static boolean allAnswered(ProgramAccount account, int turn) {
        for (int earlier = 0; earlier < turn; earlier++) {
            if (!account.mAnswers.containsKey(earlier)) {
                return false;
            }
        }
        return true;
    }

    private static boolean historyMatches(ProgramAccount account, Prompt prompt) {
        if (!prompt.ordered() || prompt.answerHashes().size() != prompt.turn()) {
            return false;
        }
        for (int turn = 0; turn < prompt.turn(); turn++) {
            Set<Long> given = account.mAnswers.get(turn);
            if (given == null || !given.contains(prompt.answerHashes().get(turn))) {
                return false;
            }
        }
        return true;
    }

    // ---- All targets ----

    /** Records the arrival of a request and looks for keys in its head. */
    void arrived(String target, Exchange exchange) {
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
            exchange.arrival(mArrivals.size());
            mArrivals.add(arrival);
        }
        scanHead(exchange);
    }

    /** Adds the program and turn of a prompt to a recorded arrival. */
    void arrivalOf(Exchange exchange, Prompt prompt) {
        if (prompt.program() == null || exchange.arrival() < 0) {
            return;
        }
        synchronized (mArrivals) {
            mArrivals.set(exchange.arrival(), mArrivals.get(exchange.arrival()).with(prompt));
        }
    }

    /** Looks for keys in the head of a request. */
    void scanHead(Exchange exchange) {
        StringBuilder head = new StringBuilder(exchange.uri()).append('\n');
        head.append(decoded(exchange.uri())).append('\n');
        exchange.headers().forEach(h -> head.append(h.getValue()).append('\n'));
        if (KEY.matcher(head).find()) {
            count("leaked_keys");
        }
    }

    /** Looks for keys in a body. */
    void scanBody(byte[] body) {
        if (containsKey(body)) {
            count("leaked_keys");
        }
    }

    /** Looks for keys in a piece of a streamed body, also in one that began in the last piece. */
    void scanPiece(Exchange exchange, ByteBuf piece) {
        byte[] tail = exchange.scannedTail();
        byte[] bytes = Arrays.copyOf(tail, tail.length + piece.readableBytes());
        piece.getBytes(piece.readerIndex(), bytes, tail.length, piece.readableBytes());
        scanBody(bytes);
        // One byte less than the shortest match, so that no match is counted twice.
        exchange.scannedTail(
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

    private static String decoded(String uri) {
        try {
            return URLDecoder.decode(uri, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return uri;
        }
    }

    // ---- Plain services ----

    /**
     * Records an effect.
     *
     * @return its number, from 1
     */
    long effect(String target, Exchange exchange) {
        String program = exchange.header("X-Program-Id");
        String request = exchange.header("X-Request-Id");
        String path = exchange.path();
        String owner = program == null ? "workspace/" + exchange.header("X-Workspace-Id") : program;
        synchronized (mEffects) {
            boolean duplicate =
                    NOT_REPEATABLE.stream()
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
            count("effects");
            if (duplicate) {
                count("duplicate_side_effects");
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

    /** Returns up to 10,000 arrivals with numbers above the given one. */
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
