package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.heathercourse.core.placement.CacheChange;
import org.heathercourse.core.placement.LoadReport;

/**
 * Simulated model engine with continuous batching, priorities and a prefix cache in limited memory.
 *
 * <p>Queued calls start in order of priority, then of arrival. Running calls are not preempted and
 * reserve memory for their whole answer. Each step computes a bounded number of prompt tokens in
 * order of priority and one token of each generating call. Memory that running calls do not reserve
 * caches the prefixes of idle sessions; the least recently used one is evicted first. Not safe for
 * use by several threads.
 */
final class EngineModel {
    private static final Comparator<Call> CALL_ORDER =
            Comparator.<Call>comparingInt(c -> c.mPriority).thenComparingLong(c -> c.mArrival);

    /** A call at the engine, with the callbacks for its progress. */
    static final class Call {
        private final String mSession;
        private final int mPromptTokens;
        private final int mOutputTokens;
        private final int mPriority;
        private final Runnable mOnFirstToken;
        private final Runnable mOnDone;
        private final Runnable mOnFailure;
        private long mArrival;
        private int mPromptTokensLeft;
        private int mGeneratedTokens;
        private int mCachedTokens;

        Call(
                String session,
                int promptTokens,
                int outputTokens,
                int priority,
                Runnable onFirstToken,
                Runnable onDone,
                Runnable onFailure) {
            mSession = session;
            mPromptTokens = promptTokens;
            mOutputTokens = outputTokens;
            mPriority = priority;
            mOnFirstToken = onFirstToken;
            mOnDone = onDone;
            mOnFailure = onFailure;
        }

        private int reservedTokens() {
            return mPromptTokens + mOutputTokens;
        }

        /** Returns the number of prompt tokens found in the cache when the call started. */
        int cachedTokens() {
            return mCachedTokens;
        }
    }

    private final EventLoop mLoop;
    private final EngineSpec mSpec;
    private final PriorityQueue<Call> mWaiting = new PriorityQueue<>(CALL_ORDER);
    private final List<Call> mRunning = new ArrayList<>();
    private final LinkedHashMap<String, Integer> mIdleSessions = new LinkedHashMap<>();
    private final List<CacheChange> mEvents = new ArrayList<>();
    private long mIdleTokens;
    private long mRunningTokens;
    private long mEventSequence;
    private long mNextArrival;
    private int mIncarnation;
    private boolean mStepInProgress;
    private boolean mAlive = true;
    private double mBusyMillis;

    EngineModel(EventLoop loop, EngineSpec spec) {
        mLoop = loop;
        mSpec = spec;
    }

    /** Queues a call; it fails at once if the engine is not alive. */
    void submit(Call call) {
        if (!mAlive) {
            call.mOnFailure.run();
            return;
        }
        call.mArrival = mNextArrival++;
        mWaiting.add(call);
        startStep();
    }

    // Steps

    private void startStep() {
        if (mStepInProgress) {
            return;
        }
        admit();
        if (mRunning.isEmpty()) {
            return;
        }
        mStepInProgress = true;
        int promptBudget = mSpec.maxStepPromptTokens();
        int generating = 0;
        for (Call call : mRunning) {
            if (call.mPromptTokensLeft == 0) {
                generating++;
            } else if (promptBudget > 0) {
                int tokens = Math.min(promptBudget, call.mPromptTokensLeft);
                call.mPromptTokensLeft -= tokens;
                promptBudget -= tokens;
            }
        }
        double millis =
                mSpec.baseStepMillis()
                        + generating * mSpec.perSequenceMillis()
                        + (mSpec.maxStepPromptTokens() - promptBudget) * mSpec.promptTokenMillis();
        mBusyMillis += millis;
        int incarnation = mIncarnation;
        mLoop.scheduleAfter(
                millis,
                () -> {
                    if (incarnation == mIncarnation) {
                        endStep();
                    }
                });
    }

    private void endStep() {
        List<Runnable> callbacks = new ArrayList<>();
        for (Iterator<Call> it = mRunning.iterator(); it.hasNext(); ) {
            Call call = it.next();
            if (call.mPromptTokensLeft > 0) {
                continue;
            }
            call.mGeneratedTokens++;
            if (call.mGeneratedTokens == 1) {
                callbacks.add(call.mOnFirstToken);
            }
            if (call.mGeneratedTokens >= call.mOutputTokens) {
                it.remove();
                mRunningTokens -= call.reservedTokens();
                cacheSession(call.mSession, call.reservedTokens());
                callbacks.add(call.mOnDone);
            }
        }
        mStepInProgress = false;
        callbacks.forEach(Runnable::run);
        startStep();
    }

    private void admit() {
        while (!mWaiting.isEmpty() && mRunning.size() < mSpec.maxRunning()) {
            Call call = mWaiting.peek();
            int held = mIdleSessions.getOrDefault(call.mSession, 0);
            if (mRunningTokens + call.reservedTokens() > mSpec.cacheTokens()
                    && !mRunning.isEmpty()) {
                return;
            }
            mWaiting.remove();
            if (held > 0) {
                mIdleSessions.remove(call.mSession);
                mIdleTokens -= held;
            }
            mRunningTokens += call.reservedTokens();
            evict();
            // The last prompt token is always computed, as the first answer token depends on it.
            call.mCachedTokens = Math.min(held, call.mPromptTokens - 1);
            call.mPromptTokensLeft = call.mPromptTokens - call.mCachedTokens;
            insertRunning(call);
        }
    }

    private void insertRunning(Call call) {
        int i = mRunning.size();
        while (i > 0 && CALL_ORDER.compare(call, mRunning.get(i - 1)) < 0) {
            i--;
        }
        mRunning.add(i, call);
    }

    // Cache

    private void cacheSession(String session, int tokens) {
        Integer previous = mIdleSessions.remove(session);
        mIdleTokens += tokens - (previous == null ? 0 : previous);
        mIdleSessions.put(session, tokens);
        mEvents.add(new CacheChange(++mEventSequence, session, tokens));
        evict();
    }

    private void evict() {
        Iterator<Map.Entry<String, Integer>> it = mIdleSessions.entrySet().iterator();
        while (mIdleTokens + mRunningTokens > mSpec.cacheTokens() && it.hasNext()) {
            Map.Entry<String, Integer> oldest = it.next();
            mIdleTokens -= oldest.getValue();
            mEvents.add(new CacheChange(++mEventSequence, oldest.getKey(), 0));
            it.remove();
        }
    }

    /** Returns the number of cached tokens of an idle session; 0 if the engine is not alive. */
    int heldTokens(String session) {
        return mAlive ? mIdleSessions.getOrDefault(session, 0) : 0;
    }

    /** Caches a copy of a session from another engine, unless as many tokens are cached already. */
    void importSession(String session, int tokens) {
        if (mAlive && tokens > heldTokens(session)) {
            cacheSession(session, tokens);
        }
    }

    /** Removes an idle session from the cache. */
    void release(String session) {
        Integer previous = mIdleSessions.remove(session);
        if (previous != null) {
            mIdleTokens -= previous;
            mEvents.add(new CacheChange(++mEventSequence, session, 0));
        }
    }

    // Failure and reports

    /** Fails the engine: all its calls fail and its cache is lost. */
    void fail() {
        mAlive = false;
        mIncarnation++;
        mStepInProgress = false;
        List<Call> failedCalls = new ArrayList<>(mRunning);
        failedCalls.addAll(mWaiting);
        mRunning.clear();
        mWaiting.clear();
        mIdleSessions.clear();
        mEvents.clear();
        mIdleTokens = 0;
        mRunningTokens = 0;
        mEventSequence = 0;
        failedCalls.forEach(c -> c.mOnFailure.run());
    }

    /** Restarts the engine with an empty cache. */
    void restart() {
        mAlive = true;
    }

    boolean isAlive() {
        return mAlive;
    }

    /** Returns the total time of the steps, in milliseconds. */
    double busyMillis() {
        return mBusyMillis;
    }

    /**
     * Returns the current load.
     *
     * @param models names of the loaded models
     * @param ageMillis age of the report at its delivery
     */
    LoadReport report(List<String> models, long ageMillis) {
        long queuedTokens = 0;
        for (Call call : mWaiting) {
            queuedTokens += Math.max(0, call.mPromptTokens - heldTokens(call.mSession));
        }
        for (Call call : mRunning) {
            queuedTokens += call.mPromptTokensLeft;
        }
        return new LoadReport(
                mRunning.size(),
                mWaiting.size(),
                queuedTokens,
                mIdleTokens + mRunningTokens,
                mSpec.cacheTokens(),
                models,
                ageMillis);
    }

    /** Returns and removes the cache events since the previous call of this method. */
    List<CacheChange> drainEvents() {
        List<CacheChange> drained = List.copyOf(mEvents);
        mEvents.clear();
        return drained;
    }
}
