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
 * A model engine with continuous batching, priorities and a prefix cache in limited memory.
 *
 * <p>Waiting calls start by priority, then arrival. Running calls are never interrupted and reserve
 * memory for their whole answer. Each step computes a bounded number of prompt tokens in order of
 * priority and one token of each generating call. Memory that running calls do not need keeps the
 * prefixes of idle sessions; the one used least recently goes first.
 */
final class EngineModel {
    private static final Comparator<Call> ORDER =
            Comparator.<Call>comparingInt(c -> c.mPriority).thenComparingLong(c -> c.mArrival);

    /** A call at the engine. */
    static final class Call {
        private final String mSession;
        private final int mPromptTokens;
        private final int mOutputTokens;
        private final int mPriority;
        private final Runnable mOnFirstToken;
        private final Runnable mOnDone;
        private final Runnable mOnFailure;
        private long mArrival;
        private int mPromptLeft;
        private int mGenerated;
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

        private int memory() {
            return mPromptTokens + mOutputTokens;
        }

        /** Returns the prompt tokens found in the cache. */
        int cachedTokens() {
            return mCachedTokens;
        }
    }

    private final EventLoop mLoop;
    private final EngineSpec mSpec;
    private final PriorityQueue<Call> mWaiting = new PriorityQueue<>(ORDER);
    private final List<Call> mRunning = new ArrayList<>();
    private final LinkedHashMap<String, Integer> mIdle = new LinkedHashMap<>();
    private final List<CacheChange> mEvents = new ArrayList<>();
    private long mIdleTokens;
    private long mRunningTokens;
    private long mEventSequence;
    private long mArrivals;
    private int mIncarnation;
    private boolean mStepping;
    private boolean mAlive = true;
    private double mBusyMillis;

    EngineModel(EventLoop loop, EngineSpec spec) {
        mLoop = loop;
        mSpec = spec;
    }

    void submit(Call call) {
        if (!mAlive) {
            call.mOnFailure.run();
            return;
        }
        call.mArrival = mArrivals++;
        mWaiting.add(call);
        startStep();
    }

    // Steps

    private void startStep() {
        if (mStepping) {
            return;
        }
        admit();
        if (mRunning.isEmpty()) {
            return;
        }
        mStepping = true;
        int budget = mSpec.stepPromptTokens();
        int generating = 0;
        for (Call call : mRunning) {
            if (call.mPromptLeft == 0) {
                generating++;
            } else if (budget > 0) {
                int tokens = Math.min(budget, call.mPromptLeft);
                call.mPromptLeft -= tokens;
                budget -= tokens;
            }
        }
        double millis =
                mSpec.baseStepMillis()
                        + generating * mSpec.perSequenceMillis()
                        + (mSpec.stepPromptTokens() - budget) * mSpec.promptTokenMillis();
        mBusyMillis += millis;
        int incarnation = mIncarnation;
        mLoop.after(
                millis,
                () -> {
                    if (incarnation == mIncarnation) {
                        endStep();
                    }
                });
    }

    private void endStep() {
        List<Runnable> notices = new ArrayList<>();
        for (Iterator<Call> it = mRunning.iterator(); it.hasNext(); ) {
            Call call = it.next();
            if (call.mPromptLeft > 0) {
                continue;
            }
            call.mGenerated++;
            if (call.mGenerated == 1) {
                notices.add(call.mOnFirstToken);
            }
            if (call.mGenerated >= call.mOutputTokens) {
                it.remove();
                mRunningTokens -= call.memory();
                keep(call.mSession, call.memory());
                notices.add(call.mOnDone);
            }
        }
        mStepping = false;
        notices.forEach(Runnable::run);
        startStep();
    }

    private void admit() {
        while (!mWaiting.isEmpty() && mRunning.size() < mSpec.slots()) {
            Call call = mWaiting.peek();
            int held = mIdle.getOrDefault(call.mSession, 0);
            if (mRunningTokens + call.memory() > mSpec.cacheTokens() && !mRunning.isEmpty()) {
                return;
            }
            mWaiting.remove();
            if (held > 0) {
                mIdle.remove(call.mSession);
                mIdleTokens -= held;
            }
            mRunningTokens += call.memory();
            evict();
            // The last prompt token is always computed, as it yields the first answer token.
            call.mCachedTokens = Math.min(held, call.mPromptTokens - 1);
            call.mPromptLeft = call.mPromptTokens - call.mCachedTokens;
            insertRunning(call);
        }
    }

    private void insertRunning(Call call) {
        int i = mRunning.size();
        while (i > 0 && ORDER.compare(call, mRunning.get(i - 1)) < 0) {
            i--;
        }
        mRunning.add(i, call);
    }

    // Cache

    private void keep(String session, int tokens) {
        Integer old = mIdle.remove(session);
        mIdleTokens += tokens - (old == null ? 0 : old);
        mIdle.put(session, tokens);
        mEvents.add(new CacheChange(++mEventSequence, session, tokens));
        evict();
    }

    private void evict() {
        Iterator<Map.Entry<String, Integer>> it = mIdle.entrySet().iterator();
        while (mIdleTokens + mRunningTokens > mSpec.cacheTokens() && it.hasNext()) {
            Map.Entry<String, Integer> oldest = it.next();
            mIdleTokens -= oldest.getValue();
            mEvents.add(new CacheChange(++mEventSequence, oldest.getKey(), 0));
            it.remove();
        }
    }

    /** Returns the tokens held of an idle session. */
    int held(String session) {
        return mAlive ? mIdle.getOrDefault(session, 0) : 0;
    }

    /** Takes in a copy of a session from another engine. */
    void importSession(String session, int tokens) {
        if (mAlive && tokens > held(session)) {
            keep(session, tokens);
        }
    }

    /** Releases the cache of a session. */
    void release(String session) {
        Integer old = mIdle.remove(session);
        if (old != null) {
            mIdleTokens -= old;
            mEvents.add(new CacheChange(++mEventSequence, session, 0));
        }
    }

    // Failure and reports

    /** Ends the engine: all its calls fail and its cache is lost. */
    void fail() {
        mAlive = false;
        mIncarnation++;
        mStepping = false;
        List<Call> lost = new ArrayList<>(mRunning);
        lost.addAll(mWaiting);
        mRunning.clear();
        mWaiting.clear();
        mIdle.clear();
        mEvents.clear();
        mIdleTokens = 0;
        mRunningTokens = 0;
        mEventSequence = 0;
        lost.forEach(c -> c.mOnFailure.run());
    }

    /** Starts the engine again with an empty cache. */
    void restart() {
        mAlive = true;
    }

    boolean alive() {
        return mAlive;
    }

    double busyMillis() {
        return mBusyMillis;
    }

    LoadReport report(List<String> models, long ageMillis) {
        long queuedTokens = 0;
        for (Call call : mWaiting) {
            queuedTokens += Math.max(0, call.mPromptTokens - held(call.mSession));
        }
        for (Call call : mRunning) {
            queuedTokens += call.mPromptLeft;
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

    /** Returns the cache events since the last call. */
    List<CacheChange> takeEvents() {
        List<CacheChange> taken = List.copyOf(mEvents);
        mEvents.clear();
        return taken;
    }
}
