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
 * The running batch and the queue of an engine. Prompts are computed one at a time at the prefill
 * rate; each running call generates one token per configured interval. Confined to one event loop,
 * except {@link #addTo}, which may be called from any thread.
 */
final class EngineBatch {
    private static final Comparator<EngineCall> URGENT_FIRST =
            Comparator.<EngineCall>comparingInt(c -> c.mPriority)
                    .thenComparingLong(c -> c.mSubmissionNumber);
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
    private final Deque<ResumableCall> mResumableCalls = new ArrayDeque<>();
    private long mSubmittedCalls;
    private EngineCall mPrefilling;
    private long mPrefillIdleSinceNanos;
    private long mNextTickNanos = Long.MAX_VALUE;
    private final AtomicLong mComputedTokens = new AtomicLong();
    private final AtomicLong mCachedTokens = new AtomicLong();
    private final AtomicLong mWastedTokens = new AtomicLong();
    private final AtomicLong mCancelledCalls = new AtomicLong();
    private final AtomicLong mFinishedCalls = new AtomicLong();
    private volatile int mRunningCount;
    private volatile int mQueuedCount;

    /** A finished or suspended call and the time at which it can no longer be resumed. */
    private record ResumableCall(EngineCall call, long expiresAtMillis) {}

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
        mPrefillIdleSinceNanos = ticker.readNanos();
    }

    /** Enqueues a call, or attaches the client to an existing call with the same id. */
    void submit(Exchange exchange, JsonNode body, Prompt prompt) {
        int resumeFrom = (int) exchange.longHeader("X-Resume-From", 0);
        // Call ids are unique within a session only.
        String callId =
                exchange.header("X-Call-Id") == null
                        ? "call-" + mSubmittedCalls
                        : exchange.header("X-Session-Id") + "/" + exchange.header("X-Call-Id");
        EngineCall call = mCalls.get(callId);
        if (call != null && call.mPrompt.hash() != prompt.hash()) {
            exchange.error(409, "call id is in use with a different prompt", true);
            return;
        }
        if (call == null) {
            mFleet.accounting().checkPrompt(prompt, resumeFrom > 0);
            call = newCall(callId, exchange, body, prompt);
        } else {
            mFleet.accounting().increment("resumed_calls");
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
        stats.put("running", mRunningCount).put("queued", mQueuedCount);
        stats.put("finished", mFinishedCalls.get()).put("cancelled", mCancelledCalls.get());
        stats.put("computed_tokens", mComputedTokens.get())
                .put("cached_tokens", mCachedTokens.get());
        stats.put("wasted_tokens", mWastedTokens.get());
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
                        mSubmittedCalls++,
                        body.path("model").asText(),
                        maxTokens.asInt(Integer.MAX_VALUE));
        mCalls.put(callId, call);
        mQueue.add(call);
        return call;
    }

    private void attach(EngineCall call, Exchange exchange, boolean stream, int fromToken) {
        call.attach(exchange, stream, fromToken);
        exchange.onDisconnect(() -> mLoop.execute(() -> onDisconnected(call, exchange)));
        if (call.mStage == EngineCall.Stage.SUSPENDED) {
            call.mStage = EngineCall.Stage.QUEUED;
            call.mResumeExpiresAtMillis = Long.MAX_VALUE;
            mQueue.add(call);
        }
        call.flush();
        if (call.mStage == EngineCall.Stage.DONE) {
            call.finish();
        }
    }

    private void onDisconnected(EngineCall call, Exchange exchange) {
        if (call.mExchange != exchange) {
            return;
        }
        call.mExchange = null;
        if (call.mStage == EngineCall.Stage.DONE) {
            return;
        }
        if (call.mStage == EngineCall.Stage.DECODE) {
            mCache.put(call.mSession, cachedConversation(call));
            mFleet.accounting().charge(call.mPrompt, call.mCallId, call.generatedTokens());
        }
        if (call == mPrefilling) {
            mPrefilling = null;
            mPrefillIdleSinceNanos = mTicker.readNanos();
        }
        mQueue.remove(call);
        mRunning.remove(call);
        call.mStage = EngineCall.Stage.SUSPENDED;
        retainForResume(call);
        mCancelledCalls.incrementAndGet();
        schedule(0);
    }

    // ---- Scheduling ----

    private void schedule(long delayNanos) {
        long tickNanos = mTicker.readNanos() + delayNanos;
        if (tickNanos < mNextTickNanos) {
            mNextTickNanos = tickNanos;
            mLoop.schedule(() -> tick(tickNanos), delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void tick(long scheduledAtNanos) {
        if (scheduledAtNanos != mNextTickNanos) {
            return;
        }
        mNextTickNanos = Long.MAX_VALUE;
        long nowNanos = mTicker.readNanos();
        if (mFaults.isPaused()) {
            mRunning.forEach(c -> c.mNextEventNanos = Math.max(c.mNextEventNanos, nowNanos));
            schedule(PAUSE_POLL_NANOS);
            return;
        }
        admit();
        startPrefill();
        boolean progress = true;
        while (progress) {
            progress = false;
            for (EngineCall call : List.copyOf(mRunning)) {
                progress |= advance(call, nowNanos);
            }
            admit();
            startPrefill();
        }
        evictExpiredCalls();
        mRunningCount = mRunning.size();
        mQueuedCount = mQueue.size();
        long nextEventNanos = Long.MAX_VALUE;
        for (EngineCall call : mRunning) {
            nextEventNanos = Math.min(nextEventNanos, call.mNextEventNanos);
        }
        if (nextEventNanos != Long.MAX_VALUE) {
            schedule(Math.max(MIN_TICK_NANOS, nextEventNanos - mTicker.readNanos()));
        }
    }

    private void admit() {
        while (mRunning.size() < mSettings.maxBatch() && !mQueue.isEmpty()) {
            EngineCall call = mQueue.pollFirst();
            long longestCachedTokens = mFleet.longestPrefixTokens(call.mSession, call.mPrompt);
            long cachedTokens = mCache.touch(call.mSession, call.mPrompt);
            long computedTokens = call.mPrompt.tokens() - cachedTokens + call.generatedTokens();
            call.mCachedTokens = cachedTokens;
            mCachedTokens.addAndGet(cachedTokens);
            mComputedTokens.addAndGet(computedTokens);
            mWastedTokens.addAndGet(Math.max(0, longestCachedTokens - cachedTokens));
            call.mPrefillTokens = computedTokens;
            call.mNextEventNanos = Long.MAX_VALUE;
            call.mAdmittedNanos = mTicker.readNanos();
            call.mStage = EngineCall.Stage.PREFILL;
            mRunning.add(call);
        }
    }

    /** Starts the prefill of the most urgent call in the batch unless a prefill is running. */
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
            mPrefilling.mNextEventNanos =
                    Math.max(mPrefilling.mAdmittedNanos, mPrefillIdleSinceNanos)
                            + (long)
                                    (mPrefilling.mPrefillTokens
                                            * 1e9
                                            / mSettings.prefillTokensPerSecond());
        }
    }

    /** Generates the tokens that are due; returns whether there were any. */
    private boolean advance(EngineCall call, long nowNanos) {
        if (call.mNextEventNanos > nowNanos || call.mStage == EngineCall.Stage.DONE) {
            return false;
        }
        if (call == mPrefilling) {
            mPrefilling = null;
            mPrefillIdleSinceNanos = call.mNextEventNanos;
        }
        call.mStage = EngineCall.Stage.DECODE;
        long dueTokens = 1 + (nowNanos - call.mNextEventNanos) / mNanosPerToken;
        call.mNextEventNanos += dueTokens * mNanosPerToken;
        call.generate(dueTokens);
        if (call.isFullyGenerated()) {
            complete(call);
        } else {
            call.flush();
        }
        return true;
    }

    private void complete(EngineCall call) {
        mRunning.remove(call);
        call.mStage = EngineCall.Stage.DONE;
        retainForResume(call);
        String text = call.text();
        mCache.put(
                call.mSession,
                cachedConversation(call)
                        .withMessage(call.mPrompt.hashWithAnswer(text), call.generatedTokens()));
        Accounting accounting = mFleet.accounting();
        accounting.recordAnswer(call.mPrompt, Prompt.textHash(text));
        accounting.charge(call.mPrompt, call.mCallId, call.generatedTokens());
        accounting.add("prompt_tokens", call.mPrompt.tokens());
        accounting.add("completion_tokens", call.generatedTokens());
        mFinishedCalls.incrementAndGet();
        call.finish();
    }

    private void retainForResume(EngineCall call) {
        call.mResumeExpiresAtMillis = mTicker.readMillis() + mSettings.resumeRetentionMillis();
        mResumableCalls.add(new ResumableCall(call, call.mResumeExpiresAtMillis));
    }

    private void evictExpiredCalls() {
        long nowMillis = mTicker.readMillis();
        while (!mResumableCalls.isEmpty()
                && mResumableCalls.getFirst().expiresAtMillis() < nowMillis) {
            ResumableCall oldest = mResumableCalls.removeFirst();
            if (oldest.call().mResumeExpiresAtMillis == oldest.expiresAtMillis()) {
                mCalls.remove(oldest.call().mCallId, oldest.call());
            }
        }
    }

    private static PrefixCache.Conversation cachedConversation(EngineCall call) {
        return new PrefixCache.Conversation(
                call.mPrompt.prefixHashes(), call.mPrompt.prefixTokens());
    }
}
