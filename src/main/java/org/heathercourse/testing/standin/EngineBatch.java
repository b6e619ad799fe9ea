package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.core.time.Ticker;

/**
 * The running batch and the queue of an engine. Prompts are computed one after the other at the
 * prefill rate; each running call generates at its own pace. Used by one event loop only, but for
 * the counters.
 */
final class EngineBatch {
    private static final Comparator<EngineCall> URGENT_FIRST =
            Comparator.<EngineCall>comparingInt(c -> c.mPriority)
                    .thenComparingLong(c -> c.mArrival);
    private static final long MIN_TICK_NANOS = 1_000_000;
    private static final long PAUSE_POLL_NANOS = 5_000_000;

    private final EventLoop mLoop;
    private final Ticker mTicker;
    private final FaultSwitches mFaults;
    private final EngineSettings mSettings;
    private final EngineFleet mFleet;
    private final PrefixCache mCache;
    private final long mNanosPerToken;
    private final TreeSet<EngineCall> mQueue = new TreeSet<>(URGENT_FIRST);
    private final List<EngineCall> mRunning = new ArrayList<>();
    private final Map<String, EngineCall> mCalls = new HashMap<>();
    private final Deque<Ended> mEnded = new ArrayDeque<>();
    private long mArrivals;
    private EngineCall mPrefilling;
    private long mPrefillFreeNanos;
    private long mTickAtNanos = Long.MAX_VALUE;
    private final AtomicLong mComputed = new AtomicLong();
    private final AtomicLong mCached = new AtomicLong();
    private final AtomicLong mWasted = new AtomicLong();
    private final AtomicLong mCancelled = new AtomicLong();
    private final AtomicLong mFinished = new AtomicLong();
    private volatile int mRunningNow;
    private volatile int mQueuedNow;

    /** A call that ended and the time until which it can be resumed. */
    private record Ended(EngineCall call, long untilMillis) {}

    EngineBatch(
            EventLoop loop,
            Ticker ticker,
            FaultSwitches faults,
            EngineSettings settings,
            EngineFleet fleet,
            PrefixCache cache) {
        mLoop = loop;
        mTicker = ticker;
        mFaults = faults;
        mSettings = settings;
        mFleet = fleet;
        mCache = cache;
        mNanosPerToken = Math.max(1, (long) (settings.msPerToken() * 1e6));
        mPrefillFreeNanos = ticker.readNanos();
    }

    /** Starts a call, or attaches the client to a call of the same identity. */
    void submit(Exchange exchange, JsonNode body, Prompt prompt) {
        int resumeFrom = (int) exchange.longHeader("X-Resume-From", 0);
        // Two sessions may use the same call identity.
        String callId =
                exchange.header("X-Call-Id") == null
                        ? "call-" + mArrivals
                        : exchange.header("X-Session-Id") + "/" + exchange.header("X-Call-Id");
        EngineCall call = mCalls.get(callId);
        if (call != null && call.mPrompt.hash() != prompt.hash()) {
            exchange.error(409, "another prompt under the same call identity", true);
            return;
        }
        if (call == null) {
            mFleet.accounting().checkPrompt(prompt, resumeFrom > 0);
            call = newCall(callId, exchange, body, prompt);
        } else {
            mFleet.accounting().count("resumed_calls");
            if (call.mExchange != null) {
                call.mExchange.abort();
            }
        }
        attach(call, exchange, body.path("stream").asBoolean(), resumeFrom);
        schedule(0);
    }

    ObjectNode load() {
        long queuedTokens = 0;
        for (EngineCall call : mQueue) {
            queuedTokens += call.mPrompt.tokens() - mCache.peek(call.mSession, call.mPrompt);
        }
        ObjectNode load = Exchange.JSON.createObjectNode();
        load.put("running", mRunning.size());
        load.put("queued", mQueue.size());
        load.put("queued_tokens", queuedTokens);
        return load;
    }

    void addTo(ObjectNode stats) {
        stats.put("running", mRunningNow).put("queued", mQueuedNow);
        stats.put("finished", mFinished.get()).put("cancelled", mCancelled.get());
        stats.put("computed_tokens", mComputed.get()).put("cached_tokens", mCached.get());
        stats.put("wasted_tokens", mWasted.get());
    }

    private EngineCall newCall(String callId, Exchange exchange, JsonNode body, Prompt prompt) {
        String session = exchange.header("X-Session-Id");
        JsonNode maxTokens =
                body.has("max_completion_tokens")
                        ? body.get("max_completion_tokens")
                        : body.path("max_tokens");
        EngineCall call =
                new EngineCall(
                        callId,
                        session == null ? callId : session,
                        prompt,
                        (int) exchange.longHeader("X-Priority", 0),
                        mArrivals++,
                        body.path("model").asText(),
                        maxTokens.asInt(Integer.MAX_VALUE));
        mCalls.put(callId, call);
        mQueue.add(call);
        return call;
    }

    private void attach(EngineCall call, Exchange exchange, boolean stream, int fromToken) {
        call.attach(exchange, stream, fromToken);
        exchange.onDisconnect(() -> mLoop.execute(() -> disconnected(call, exchange)));
        if (call.mStage == EngineCall.Stage.SUSPENDED) {
            call.mStage = EngineCall.Stage.QUEUED;
            call.mKeptUntilMillis = Long.MAX_VALUE;
            mQueue.add(call);
        }
        call.flush();
        if (call.mStage == EngineCall.Stage.DONE) {
            call.finish();
        }
    }

    private void disconnected(EngineCall call, Exchange exchange) {
        if (call.mExchange != exchange) {
            return;
        }
        call.mExchange = null;
        if (call.mStage == EngineCall.Stage.DONE) {
            return;
        }
        if (call.mStage == EngineCall.Stage.DECODE) {
            mCache.put(call.mSession, promptOf(call));
            mFleet.accounting().charge(call.mPrompt, call.mCallId, call.generated());
        }
        if (call == mPrefilling) {
            mPrefilling = null;
            mPrefillFreeNanos = mTicker.readNanos();
        }
        mQueue.remove(call);
        mRunning.remove(call);
        call.mStage = EngineCall.Stage.SUSPENDED;
        keepForResume(call);
        mCancelled.incrementAndGet();
        schedule(0);
    }

    // ---- Time ----

    private void schedule(long delayNanos) {
        long at = mTicker.readNanos() + delayNanos;
        if (at < mTickAtNanos) {
            mTickAtNanos = at;
            mLoop.schedule(() -> tick(at), delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void tick(long scheduledAtNanos) {
        if (scheduledAtNanos != mTickAtNanos) {
            return;
        }
        mTickAtNanos = Long.MAX_VALUE;
        long now = mTicker.readNanos();
        if (mFaults.paused()) {
            mRunning.forEach(c -> c.mNextAtNanos = Math.max(c.mNextAtNanos, now));
            schedule(PAUSE_POLL_NANOS);
            return;
        }
        admit();
        startPrefill();
        boolean progress = true;
        while (progress) {
            progress = false;
            for (EngineCall call : List.copyOf(mRunning)) {
                progress |= advance(call, now);
            }
            admit();
            startPrefill();
        }
        forget();
        mRunningNow = mRunning.size();
        mQueuedNow = mQueue.size();
        long next = Long.MAX_VALUE;
        for (EngineCall call : mRunning) {
            next = Math.min(next, call.mNextAtNanos);
        }
        if (next != Long.MAX_VALUE) {
            schedule(Math.max(MIN_TICK_NANOS, next - mTicker.readNanos()));
        }
    }

    private void admit() {
        while (mRunning.size() < mSettings.maxBatch() && !mQueue.isEmpty()) {
            EngineCall call = mQueue.pollFirst();
            long longest = mFleet.longestPrefix(call.mSession, call.mPrompt);
            long cached = mCache.use(call.mSession, call.mPrompt);
            long compute = call.mPrompt.tokens() - cached + call.generated();
            call.mCachedTokens = cached;
            mCached.addAndGet(cached);
            mComputed.addAndGet(compute);
            mWasted.addAndGet(Math.max(0, longest - cached));
            call.mPrefillTokens = compute;
            call.mNextAtNanos = Long.MAX_VALUE;
            call.mAdmittedNanos = mTicker.readNanos();
            call.mStage = EngineCall.Stage.PREFILL;
            mRunning.add(call);
        }
    }

    /** Starts to compute the prompt of the most urgent call of the batch, one at a time. */
    private void startPrefill() {
        if (mPrefilling != null) {
            return;
        }
        mPrefilling =
                mRunning.stream()
                        .filter(c -> c.mStage == EngineCall.Stage.PREFILL)
                        .min(URGENT_FIRST)
                        .orElse(null);
        if (mPrefilling != null) {
            mPrefilling.mNextAtNanos =
                    Math.max(mPrefilling.mAdmittedNanos, mPrefillFreeNanos)
                            + (long)
                                    (mPrefilling.mPrefillTokens
                                            * 1e9
                                            / mSettings.prefillTokensPerSecond());
        }
    }

    /** Generates the tokens that are due; returns whether there was any. */
    private boolean advance(EngineCall call, long now) {
        if (call.mNextAtNanos > now || call.mStage == EngineCall.Stage.DONE) {
            return false;
        }
        if (call == mPrefilling) {
            mPrefilling = null;
            mPrefillFreeNanos = call.mNextAtNanos;
        }
        call.mStage = EngineCall.Stage.DECODE;
        long due = 1 + (now - call.mNextAtNanos) / mNanosPerToken;
        call.mNextAtNanos += due * mNanosPerToken;
        call.generate(due);
        if (call.allGenerated()) {
            done(call);
        } else {
            call.flush();
        }
        return true;
    }

    private void done(EngineCall call) {
        mRunning.remove(call);
        call.mStage = EngineCall.Stage.DONE;
        keepForResume(call);
        String text = call.text();
        mCache.put(
                call.mSession,
                promptOf(call).with(call.mPrompt.hashWithAnswer(text), call.generated()));
        Accounting accounting = mFleet.accounting();
        accounting.answered(call.mPrompt, Prompt.textHash(text));
        accounting.charge(call.mPrompt, call.mCallId, call.generated());
        accounting.add("prompt_tokens", call.mPrompt.tokens());
        accounting.add("completion_tokens", call.generated());
        mFinished.incrementAndGet();
        call.finish();
    }

    private void keepForResume(EngineCall call) {
        call.mKeptUntilMillis = mTicker.readMillis() + mSettings.keepMillis();
        mEnded.add(new Ended(call, call.mKeptUntilMillis));
    }

    private void forget() {
        long nowMillis = mTicker.readMillis();
        while (!mEnded.isEmpty() && mEnded.getFirst().untilMillis() < nowMillis) {
            Ended ended = mEnded.removeFirst();
            if (ended.call().mKeptUntilMillis == ended.untilMillis()) {
                mCalls.remove(ended.call().mCallId, ended.call());
            }
        }
    }

    private static PrefixCache.Conversation promptOf(EngineCall call) {
        return new PrefixCache.Conversation(
                call.mPrompt.prefixHashes(), call.mPrompt.prefixTokens());
    }
}
