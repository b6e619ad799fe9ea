package org.heathercourse.core.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.target.Target;

/** Work of this gateway by target. Not thread-safe. */
public final class OwnWork {
    /** Time in milliseconds in which the weight of a run time halves. */
    private static final double SAMPLE_HALF_LIFE_MILLIS = 3_000;

    /** A running request counts as a sample once it takes this many times the expected time. */
    private static final double OVERDUE_RATIO = 2;

    private final Map<String, Entry> mEntries = new HashMap<>();

    /** Requests and samples of one incarnation of a target. */
    private static final class Entry {
        private final List<Ticket> mRunning = new ArrayList<>(2);
        private long mPromptTokens;
        private long mOutputTokens;
        private double mExpectedMillis;
        private double mRunMillis;
        private long mSampledMillis;

        void addSample(double expectedMillis, double runMillis, long nowMillis) {
            decay(nowMillis);
            mExpectedMillis += expectedMillis;
            mRunMillis += runMillis;
        }

        void decay(long nowMillis) {
            double factor = Math.pow(0.5, (nowMillis - mSampledMillis) / SAMPLE_HALF_LIFE_MILLIS);
            mExpectedMillis *= factor;
            mRunMillis *= factor;
            mSampledMillis = nowMillis;
        }

        TargetWork work(long nowMillis) {
            decay(nowMillis);
            double expectedMillis = mExpectedMillis;
            double runMillis = mRunMillis;
            for (Ticket ticket : mRunning) {
                long elapsedMillis = nowMillis - ticket.mStartMillis;
                if (ticket.isSampled() && elapsedMillis > OVERDUE_RATIO * ticket.mExpectedMillis) {
                    expectedMillis += ticket.mExpectedMillis;
                    runMillis += elapsedMillis;
                }
            }
            return new TargetWork(
                    mRunning.size(),
                    mPromptTokens,
                    mOutputTokens,
                    Math.round(expectedMillis),
                    Math.round(runMillis));
        }
    }

    /** One request at a target, from its dispatch to its end. */
    public static final class Ticket {
        private final Entry mEntry;
        private final long mOutputTokens;
        private final double mExpectedMillis;
        private final long mStartMillis;
        private long mPromptTokens;
        private boolean mEnded;

        private Ticket(
                Entry entry,
                long promptTokens,
                long outputTokens,
                double expectedMillis,
                long startMillis) {
            mEntry = entry;
            mPromptTokens = promptTokens;
            mOutputTokens = outputTokens;
            mExpectedMillis = expectedMillis;
            mStartMillis = startMillis;
        }

        private boolean isSampled() {
            return mExpectedMillis > 0;
        }

        /** Records the first byte of the answer, before which the prompt has been computed. */
        public void recordAnswerBegun() {
            mEntry.mPromptTokens -= mPromptTokens;
            mPromptTokens = 0;
        }

        /**
         * Records the end of the request.
         *
         * @param outcome what the end tells about the speed of the target
         * @param nowMillis current time of the ticker
         */
        public void end(Outcome outcome, long nowMillis) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            recordAnswerBegun();
            mEntry.mOutputTokens -= mOutputTokens;
            mEntry.mRunning.remove(this);
            double elapsedMillis = Math.max(1, nowMillis - mStartMillis);
            boolean overdue = elapsedMillis > OVERDUE_RATIO * mExpectedMillis;
            if (isSampled()
                    && (outcome == Outcome.ANSWERED
                            || outcome == Outcome.INCONCLUSIVE && overdue)) {
                mEntry.addSample(mExpectedMillis, elapsedMillis, nowMillis);
            } else if (outcome == Outcome.FAILED) {
                // The time was spent without a result, so the target counts as slower.
                mEntry.addSample(0, Math.max(elapsedMillis, mExpectedMillis), nowMillis);
            }
        }
    }

    /** What the end of a request tells about its target. */
    public enum Outcome {
        /** The answer is complete. */
        ANSWERED,
        /** The target failed. */
        FAILED,
        /** The end has other causes, such as the caller. */
        INCONCLUSIVE
    }

    /** Creates a record without work. */
    public OwnWork() {}

    /**
     * Records a dispatch.
     *
     * @param target target of the request
     * @param promptTokens tokens of the prompt
     * @param outputTokens maximum tokens of the output
     * @param expectedMillis expected run time at a target of nominal speed, including the wait; 0
     *     if it is unknown
     * @param nowMillis current time of the ticker
     * @return ends the request
     */
    public Ticket begin(
            Target target,
            long promptTokens,
            long outputTokens,
            double expectedMillis,
            long nowMillis) {
        Entry entry = mEntries.computeIfAbsent(target.incarnation(), t -> new Entry());
        Ticket ticket = new Ticket(entry, promptTokens, outputTokens, expectedMillis, nowMillis);
        entry.mPromptTokens += promptTokens;
        entry.mOutputTokens += outputTokens;
        entry.mRunning.add(ticket);
        return ticket;
    }

    /** Returns the work at the incarnation of a target. */
    public TargetWork at(Target target, long nowMillis) {
        Entry entry = mEntries.get(target.incarnation());
        return entry == null ? TargetWork.NONE : entry.work(nowMillis);
    }

    /** Returns the work by incarnation of the target, and forgets targets without any. */
    public Map<String, TargetWork> snapshot(long nowMillis) {
        Map<String, TargetWork> works = new HashMap<>();
        mEntries.forEach((target, entry) -> works.put(target, entry.work(nowMillis)));
        works.values().removeIf(TargetWork::isNone);
        mEntries.keySet().retainAll(works.keySet());
        return works;
    }
}
