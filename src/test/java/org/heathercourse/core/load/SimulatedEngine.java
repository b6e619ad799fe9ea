package org.heathercourse.core.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.heathercourse.core.target.Target;

/**
 * Model of an engine that runs requests in batches: waiting requests start by priority, prompts are
 * computed one after the other, and each running request then generates its output. The engine
 * keeps the prompts of the programs that it served last.
 */
final class SimulatedEngine {
    /** Prompt tokens per millisecond at speed 1. */
    private static final double PROMPT_RATE = 60;

    /** Output tokens per millisecond of one request at speed 1. */
    private static final double OUTPUT_RATE = 0.2;

    /** Rate of output while the engine also computes a prompt. */
    private static final double INTERLEAVED_RATIO = 0.6;

    private static final Comparator<Job> ORDER =
            Comparator.<Job>comparingInt(job -> job.mPriority)
                    .thenComparingLong(job -> job.mNumber);

    private final Target mTarget;
    private final double mSpeed;
    private final PriorityQueue<Job> mWaiting = new PriorityQueue<>(ORDER);
    private final List<Job> mRunning = new ArrayList<>();
    private final Map<String, Integer> mCachedTokens = new HashMap<>();
    private long mStalledUntilMillis;

    /** A request at an engine. */
    static final class Job {
        final String mProgram;
        final int mPromptTokens;
        final int mPriority;
        final long mNumber;
        private final Runnable mOnFirstToken;
        private final Consumer<Job> mOnEnd;
        private double mPromptLeft;
        private double mOutputLeft;

        Job(
                String program,
                int promptTokens,
                int outputTokens,
                int priority,
                long number,
                Runnable onFirstToken,
                Consumer<Job> onEnd) {
            mProgram = program;
            mPromptTokens = promptTokens;
            mOutputLeft = outputTokens;
            mPriority = priority;
            mNumber = number;
            mOnFirstToken = onFirstToken;
            mOnEnd = onEnd;
        }
    }

    SimulatedEngine(Target target, double speed) {
        mTarget = target;
        mSpeed = speed;
    }

    Target target() {
        return mTarget;
    }

    /** Makes the engine stand still until a time. */
    void stall(long untilMillis) {
        mStalledUntilMillis = untilMillis;
    }

    void submit(Job job) {
        mWaiting.add(job);
    }

    int size() {
        return mWaiting.size() + mRunning.size();
    }

    /** Advances the engine by one millisecond. */
    void step(long nowMillis) {
        if (nowMillis < mStalledUntilMillis) {
            return;
        }
        while (mRunning.size() < mTarget.slots() && !mWaiting.isEmpty()) {
            Job job = mWaiting.remove();
            int cached = mCachedTokens.getOrDefault(job.mProgram, 0);
            job.mPromptLeft = Math.max(1, job.mPromptTokens - cached);
            mRunning.add(job);
        }
        boolean computesPrompt = computePrompts();
        double output = OUTPUT_RATE * mSpeed * (computesPrompt ? INTERLEAVED_RATIO : 1);
        List<Job> ended = new ArrayList<>();
        Iterator<Job> jobs = mRunning.iterator();
        while (jobs.hasNext()) {
            Job job = jobs.next();
            if (job.mPromptLeft <= 0) {
                job.mOutputLeft -= output;
                if (job.mOutputLeft <= 0) {
                    jobs.remove();
                    mCachedTokens.put(job.mProgram, job.mPromptTokens);
                    ended.add(job);
                }
            }
        }
        ended.forEach(job -> job.mOnEnd.accept(job));
    }

    /** Returns whether there was a prompt to compute. */
    private boolean computePrompts() {
        double left = PROMPT_RATE * mSpeed;
        boolean computes = false;
        for (Job job : mRunning) {
            if (job.mPromptLeft > 0 && left > 0) {
                computes = true;
                double part = Math.min(left, job.mPromptLeft);
                job.mPromptLeft -= part;
                left -= part;
                if (job.mPromptLeft <= 0) {
                    job.mOnFirstToken.run();
                }
            }
        }
        return computes;
    }
}
