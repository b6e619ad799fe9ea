package org.heathercourse.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import org.heathercourse.core.admission.AdaptiveLimit;
import org.heathercourse.core.admission.CircuitBreaker;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.model.RequestClass;

/**
 * What one daemon knows about one target. Not safe for several threads.
 *
 * <p>Load reports lag, so own dispatches and ends since the report's time are added to it.
 */
final class TargetView {
    /** Above this age a report says nothing about the present load. */
    static final long STALE_REPORT_MILLIS = 10_000;

    /** Repeated events lie at most this far back; lower numbers mean a restart of the engine. */
    private static final long REPEATED_EVENTS = 256;

    private static final double DEFAULT_PROMPT_TOKEN_MILLIS = 0.05;
    private static final double LOSS_GAIN = 0.03;
    private static final double DEFAULT_CALL_MILLIS = 3_000;

    private final int mIndex;
    private final Deque<Attempt> mDispatchedSince = new ArrayDeque<>();
    private final Deque<Long> mEndedSince = new ArrayDeque<>();
    private TargetSpec mSpec;
    private LinkCost mLink = LinkCost.LOCAL;
    private boolean mConfigured = true;
    private LoadReport mReport;
    private long mReportMillis = Long.MIN_VALUE / 2;
    private double mSlots;
    private int mOwnInFlight;
    private final PromptSpeed mPromptSpeed = new PromptSpeed(DEFAULT_PROMPT_TOKEN_MILLIS);
    private double mOutputTokenMillis = 30;
    private double mCallMillis = DEFAULT_CALL_MILLIS;
    private double mResidenceMillis = 600_000;
    private double mCacheLossRatio;
    private long mLastSequence;
    private long mGapMillis = Long.MIN_VALUE / 2;
    private long mCacheLostMillis = Long.MIN_VALUE / 2;
    private AdaptiveLimit mLimit;
    private CircuitBreaker mBreaker = CircuitBreaker.CLOSED;

    /** An attempt that was sent to the target. */
    static final class Attempt {
        private final TargetView mView;
        private final PickRequest mRequest;
        private final Pick mPick;
        private final long mDispatchedMillis;
        private final double mUncachedTokens;
        private final double mReservedMillis;
        private final double mWaitMillis;
        private long mFirstTokenMillis = -1;

        Attempt(
                TargetView view,
                PickRequest request,
                Pick pick,
                double reservedMillis,
                long nowMillis) {
            mView = view;
            mRequest = request;
            mPick = pick;
            mDispatchedMillis = nowMillis;
            mUncachedTokens = Math.max(0, request.promptTokens() - pick.cachedTokens());
            mReservedMillis = reservedMillis;
            mWaitMillis = mUncachedTokens * view.promptTokenMillis();
        }

        TargetView view() {
            return mView;
        }

        PickRequest request() {
            return mRequest;
        }

        Pick pick() {
            return mPick;
        }

        double reservedMillis() {
            return mReservedMillis;
        }

        boolean firstTokenSeen() {
            return mFirstTokenMillis >= 0;
        }

        double expectedFirstTokenMillis() {
            return mWaitMillis;
        }

        long waitedMillis(long nowMillis) {
            return nowMillis - mDispatchedMillis;
        }
    }

    TargetView(int index, TargetSpec spec) {
        mIndex = index;
        configure(spec, LinkCost.LOCAL);
    }

    void configure(TargetSpec spec, LinkCost link) {
        if (mSpec == null || mSpec.maxConcurrency() != spec.maxConcurrency()) {
            mLimit = AdaptiveLimit.of(spec.maxConcurrency());
            mSlots = Math.max(1, spec.maxConcurrency());
        }
        mSpec = spec;
        mLink = link;
        mConfigured = true;
    }

    void remove() {
        mConfigured = false;
    }

    // Knowledge from the target

    /** Takes in a report; returns whether the set of loaded models changed. */
    boolean onReport(LoadReport report, long nowMillis) {
        long made = nowMillis - report.ageMillis();
        if (made < mReportMillis) {
            return false;
        }
        boolean changed = mReport == null || !mReport.models().equals(report.models());
        mReport = report;
        mReportMillis = made;
        if (report.queued() > 0) {
            // Calls wait only when the batch is full, so that the batch shows its size.
            mSlots = Math.max(1, report.running());
        } else {
            mSlots = Math.max(mSlots, report.running());
        }
        while (!mDispatchedSince.isEmpty()
                && mDispatchedSince.peekFirst().mDispatchedMillis <= made) {
            mDispatchedSince.removeFirst();
        }
        while (!mEndedSince.isEmpty() && mEndedSince.peekFirst() <= made) {
            mEndedSince.removeFirst();
        }
        return changed;
    }

    /** Records the number of a cache event; returns whether the event is new. */
    boolean onSequence(long sequence, long nowMillis) {
        if (sequence <= mLastSequence) {
            if (sequence > 1 && mLastSequence - sequence < REPEATED_EVENTS) {
                return false;
            }
            // Numbers start again only when the engine has started again with an empty cache.
            mCacheLostMillis = nowMillis;
        } else if (sequence != mLastSequence + 1) {
            mGapMillis = nowMillis;
        }
        mLastSequence = sequence;
        return true;
    }

    void onEvicted(long ageMillis) {
        mResidenceMillis += 0.05 * (ageMillis - mResidenceMillis);
        mCacheLossRatio += LOSS_GAIN * (1 - mCacheLossRatio);
    }

    // Own calls

    void onDispatched(Attempt attempt) {
        mOwnInFlight++;
        mDispatchedSince.addLast(attempt);
    }

    void onFirstToken(Attempt attempt, long nowMillis) {
        if (attempt.firstTokenSeen()) {
            return;
        }
        attempt.mFirstTokenMillis = nowMillis;
        double waited = attempt.waitedMillis(nowMillis);
        boolean plain = attempt.mRequest.model().isEmpty();
        if (!plain) {
            mPromptSpeed.observe(attempt.mUncachedTokens, waited);
        }
        // The time to the first byte of a plain call is mostly work, no wait for a slot.
        double work = plain ? mCallMillis : attempt.mWaitMillis;
        if (attempt.mRequest.requestClass() != RequestClass.URGENT) {
            mLimit =
                    mLimit.observe(
                            waited - work,
                            attempt.mRequest.deadlineMillis(),
                            inFlight(nowMillis, 1),
                            nowMillis);
        }
    }

    void onEnded(Attempt attempt, long completionTokens, long nowMillis) {
        mOwnInFlight--;
        mEndedSince.addLast(nowMillis);
        if (attempt.mRequest.model().isEmpty()) {
            mCallMillis += 0.1 * (attempt.waitedMillis(nowMillis) - mCallMillis);
        } else if (attempt.firstTokenSeen() && completionTokens > 1) {
            double millis = nowMillis - attempt.mFirstTokenMillis;
            mOutputTokenMillis += 0.1 * (millis / (completionTokens - 1) - mOutputTokenMillis);
            mCallMillis += 0.1 * (millis - mCallMillis);
        }
    }

    void onSuccess() {
        mCacheLossRatio -= LOSS_GAIN * mCacheLossRatio;
        mBreaker = mBreaker.afterSuccess();
    }

    void onFault(long nowMillis) {
        mBreaker = mBreaker.afterFailure(nowMillis);
    }

    // Present state

    double inFlight(long nowMillis, int daemons) {
        if (nowMillis - mReportMillis > STALE_REPORT_MILLIS) {
            // Without a report, other daemons are assumed to send as much as this one.
            return mOwnInFlight * (double) daemons;
        }
        int reported = mReport.running() + mReport.queued();
        return Math.max(mOwnInFlight, reported + mDispatchedSince.size() - mEndedSince.size());
    }

    TargetSnapshot snapshot(long nowMillis, int daemons) {
        double backlog = 0;
        for (Attempt attempt : mDispatchedSince) {
            backlog += attempt.firstTokenSeen() ? 0 : attempt.mUncachedTokens;
        }
        if (nowMillis - mReportMillis <= STALE_REPORT_MILLIS) {
            backlog += mReport.queuedTokens();
        }
        return new TargetSnapshot(
                mSpec.target(),
                mSlots,
                inFlight(nowMillis, daemons),
                backlog,
                promptTokenMillis(),
                mOutputTokenMillis,
                mCallMillis,
                cacheFill(),
                mLink);
    }

    double cacheFill() {
        return mReport == null || mReport.cacheCapacityTokens() == 0
                ? 0
                : (double) mReport.cacheUsedTokens() / mReport.cacheCapacityTokens();
    }

    /** Expected tokens that are still cached, given what was seen when. */
    double expectedCached(long tokens, long seenMillis) {
        if (seenMillis <= mCacheLostMillis) {
            return 0;
        }
        // A gap may hide an eviction; most lost events are no evictions of this session.
        return seenMillis <= mGapMillis ? tokens * 0.95 : tokens;
    }

    double serviceMillis(double uncachedTokens, double outputTokens) {
        return uncachedTokens * promptTokenMillis() + outputTokens * mOutputTokenMillis / mSlots;
    }

    /** Returns the usual share of the target that a call of a plain service takes. */
    double plainServiceMillis() {
        return mCallMillis / mSlots;
    }

    boolean offers(String model) {
        return model.isEmpty()
                || (mSpec.models().contains(model)
                        && (mReport == null
                                || mReport.models().isEmpty()
                                || mReport.models().contains(model)));
    }

    boolean takesCalls(long nowMillis) {
        return takesNewWork() && mBreaker.allows(nowMillis);
    }

    boolean takesNewWork() {
        return mConfigured && mSpec.state().takesNewWork();
    }

    /** Returns whether cache can be copied from here; draining targets are sources too. */
    boolean canExport(long nowMillis) {
        return mConfigured && mBreaker.allows(nowMillis);
    }

    int index() {
        return mIndex;
    }

    TargetSpec spec() {
        return mSpec;
    }

    double limit() {
        return mLimit.limit();
    }

    double callMillis() {
        return mCallMillis;
    }

    /** Returns losses of live sessions as a share of own calls and losses. */
    double cacheLossRatio() {
        return mCacheLossRatio;
    }

    double residenceMillis() {
        return mResidenceMillis;
    }

    double promptTokenMillis() {
        return mPromptSpeed.tokenMillis();
    }
}
