package org.heathercourse.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import org.heathercourse.core.admission.AdaptiveLimit;
import org.heathercourse.core.admission.CircuitBreaker;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.model.RequestClass;

/**
 * State of one target as estimated by one daemon. Not thread-safe.
 *
 * <p>Load reports lag, so the estimate adds the dispatches and ends of own calls since the time of
 * the last report.
 */
final class TargetView {
    /** Load reports older than this are ignored. */
    static final long STALE_REPORT_MILLIS = 10_000;

    /** Maximum distance of a repeated event; lower sequence numbers mean an engine restart. */
    private static final long MAX_REPEATED_EVENTS = 256;

    private static final double DEFAULT_PROMPT_TOKEN_MILLIS = 0.05;
    private static final double CACHE_LOSS_GAIN = 0.03;
    private static final double DEFAULT_CALL_MILLIS = 3_000;

    private final int mIndex;
    private final Deque<Attempt> mDispatchedSinceReport = new ArrayDeque<>();
    private final Deque<Long> mEndedMillisSinceReport = new ArrayDeque<>();
    private TargetSpec mSpec;
    private LinkCost mLink = LinkCost.LOCAL;
    private boolean mConfigured = true;
    private LoadReport mReport;
    private long mReportedMillis = Long.MIN_VALUE / 2;
    private double mSlots;
    private int mOwnInFlight;
    private final PrefillTimeEstimator mPrefillTime =
            new PrefillTimeEstimator(DEFAULT_PROMPT_TOKEN_MILLIS);
    private double mOutputTokenMillis = 30;
    private double mMeanCallMillis = DEFAULT_CALL_MILLIS;
    private double mResidenceMillis = 600_000;
    private double mCacheLossRatio;
    private long mLastSequence;
    private long mEventGapMillis = Long.MIN_VALUE / 2;
    private long mCacheClearedMillis = Long.MIN_VALUE / 2;
    private AdaptiveLimit mConcurrencyLimit;
    private CircuitBreaker mBreaker = CircuitBreaker.CLOSED;

    /** An attempt that was sent to the target. */
    static final class Attempt {
        private final TargetView mView;
        private final PickRequest mRequest;
        private final Pick mPick;
        private final long mDispatchedMillis;
        private final double mUncachedTokens;
        private final double mReservedMillis;
        private final double mExpectedFirstTokenMillis;
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
            mExpectedFirstTokenMillis = mUncachedTokens * view.promptTokenMillis();
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

        boolean hasFirstToken() {
            return mFirstTokenMillis >= 0;
        }

        double expectedFirstTokenMillis() {
            return mExpectedFirstTokenMillis;
        }

        long elapsedMillis(long nowMillis) {
            return nowMillis - mDispatchedMillis;
        }
    }

    TargetView(int index, TargetSpec spec) {
        mIndex = index;
        configure(spec, LinkCost.LOCAL);
    }

    void configure(TargetSpec spec, LinkCost link) {
        if (mSpec == null || mSpec.maxConcurrency() != spec.maxConcurrency()) {
            mConcurrencyLimit = AdaptiveLimit.of(spec.maxConcurrency());
            mSlots = Math.max(1, spec.maxConcurrency());
        }
        mSpec = spec;
        mLink = link;
        mConfigured = true;
    }

    void markRemoved() {
        mConfigured = false;
    }

    // Telemetry of the target

    /**
     * Records a load report; older reports than the last are ignored. Returns whether the loaded
     * models changed.
     */
    boolean onReport(LoadReport report, long nowMillis) {
        long reportedMillis = nowMillis - report.ageMillis();
        if (reportedMillis < mReportedMillis) {
            return false;
        }
        boolean changed = mReport == null || !mReport.models().equals(report.models());
        mReport = report;
        mReportedMillis = reportedMillis;
        if (report.queued() > 0) {
            // Calls are queued only when the batch is full, so its size is the number of slots.
            mSlots = Math.max(1, report.running());
        } else {
            mSlots = Math.max(mSlots, report.running());
        }
        while (!mDispatchedSinceReport.isEmpty()
                && mDispatchedSinceReport.peekFirst().mDispatchedMillis <= reportedMillis) {
            mDispatchedSinceReport.removeFirst();
        }
        while (!mEndedMillisSinceReport.isEmpty()
                && mEndedMillisSinceReport.peekFirst() <= reportedMillis) {
            mEndedMillisSinceReport.removeFirst();
        }
        return changed;
    }

    /** Records the sequence number of a cache event; returns whether the event is new. */
    boolean recordSequence(long sequence, long nowMillis) {
        if (sequence <= mLastSequence) {
            if (sequence > 1 && mLastSequence - sequence < MAX_REPEATED_EVENTS) {
                return false;
            }
            // Sequence numbers restart only with the engine, whose cache is then empty.
            mCacheClearedMillis = nowMillis;
        } else if (sequence != mLastSequence + 1) {
            mEventGapMillis = nowMillis;
        }
        mLastSequence = sequence;
        return true;
    }

    void recordEviction(long ageMillis) {
        mResidenceMillis += 0.05 * (ageMillis - mResidenceMillis);
        mCacheLossRatio += CACHE_LOSS_GAIN * (1 - mCacheLossRatio);
    }

    // Calls of this daemon

    void onDispatched(Attempt attempt) {
        mOwnInFlight++;
        mDispatchedSinceReport.addLast(attempt);
    }

    void onFirstToken(Attempt attempt, long nowMillis) {
        if (attempt.hasFirstToken()) {
            return;
        }
        attempt.mFirstTokenMillis = nowMillis;
        double elapsedMillis = attempt.elapsedMillis(nowMillis);
        boolean isPlain = attempt.mRequest.model().isEmpty();
        if (!isPlain) {
            mPrefillTime.observe(attempt.mUncachedTokens, elapsedMillis);
        }
        // Most of the time to the first byte of a plain call is run time, not a wait for a slot.
        double expectedMillis = isPlain ? mMeanCallMillis : attempt.mExpectedFirstTokenMillis;
        if (attempt.mRequest.requestClass() != RequestClass.URGENT) {
            mConcurrencyLimit =
                    mConcurrencyLimit.observe(
                            elapsedMillis - expectedMillis,
                            attempt.mRequest.deadlineMillis(),
                            inFlight(nowMillis, 1),
                            nowMillis);
        }
    }

    void onEnded(Attempt attempt, long completionTokens, long nowMillis) {
        mOwnInFlight--;
        mEndedMillisSinceReport.addLast(nowMillis);
        if (attempt.mRequest.model().isEmpty()) {
            mMeanCallMillis += 0.1 * (attempt.elapsedMillis(nowMillis) - mMeanCallMillis);
        } else if (attempt.hasFirstToken() && completionTokens > 1) {
            double millis = nowMillis - attempt.mFirstTokenMillis;
            mOutputTokenMillis += 0.1 * (millis / (completionTokens - 1) - mOutputTokenMillis);
            mMeanCallMillis += 0.1 * (millis - mMeanCallMillis);
        }
    }

    void onSuccess() {
        mCacheLossRatio -= CACHE_LOSS_GAIN * mCacheLossRatio;
        mBreaker = mBreaker.afterSuccess();
    }

    void onFault(long nowMillis) {
        mBreaker = mBreaker.afterFailure(nowMillis);
    }

    // Current estimates

    double inFlight(long nowMillis, int daemons) {
        if (nowMillis - mReportedMillis > STALE_REPORT_MILLIS) {
            // Without a current report, each other daemon is assumed to have as many calls as this
            // one.
            return mOwnInFlight * (double) daemons;
        }
        int reported = mReport.running() + mReport.queued();
        return Math.max(
                mOwnInFlight,
                reported + mDispatchedSinceReport.size() - mEndedMillisSinceReport.size());
    }

    TargetSnapshot snapshot(long nowMillis, int daemons) {
        double backlog = 0;
        for (Attempt attempt : mDispatchedSinceReport) {
            backlog += attempt.hasFirstToken() ? 0 : attempt.mUncachedTokens;
        }
        if (nowMillis - mReportedMillis <= STALE_REPORT_MILLIS) {
            backlog += mReport.queuedTokens();
        }
        return new TargetSnapshot(
                mSpec.target(),
                mSlots,
                inFlight(nowMillis, daemons),
                backlog,
                promptTokenMillis(),
                mOutputTokenMillis,
                mMeanCallMillis,
                cacheFillRatio(),
                mLink);
    }

    double cacheFillRatio() {
        return mReport == null || mReport.cacheCapacityTokens() == 0
                ? 0
                : (double) mReport.cacheUsedTokens() / mReport.cacheCapacityTokens();
    }

    /** Returns the expected number of tokens still cached of those observed at a time. */
    double expectedCachedTokens(long tokens, long observedMillis) {
        if (observedMillis <= mCacheClearedMillis) {
            return 0;
        }
        // A lost event may be an eviction of this session, but most are not.
        return observedMillis <= mEventGapMillis ? tokens * 0.95 : tokens;
    }

    double serviceMillis(double uncachedTokens, double outputTokens) {
        return uncachedTokens * promptTokenMillis() + outputTokens * mOutputTokenMillis / mSlots;
    }

    /** Returns the mean service time of a plain call: its run time divided by the slots. */
    double plainServiceMillis() {
        return mMeanCallMillis / mSlots;
    }

    boolean hasModel(String model) {
        return model.isEmpty()
                || (mSpec.models().contains(model)
                        && (mReport == null
                                || mReport.models().isEmpty()
                                || mReport.models().contains(model)));
    }

    boolean acceptsCalls(long nowMillis) {
        return isEligible() && mBreaker.allows(nowMillis);
    }

    boolean isEligible() {
        return mConfigured && mSpec.state().takesNewWork();
    }

    /** Returns whether cache can be copied from this target; draining targets are included. */
    boolean canExport(long nowMillis) {
        return mConfigured && mBreaker.allows(nowMillis);
    }

    int index() {
        return mIndex;
    }

    TargetSpec spec() {
        return mSpec;
    }

    double concurrencyLimit() {
        return mConcurrencyLimit.limit();
    }

    double meanCallMillis() {
        return mMeanCallMillis;
    }

    /** Returns the moving ratio of evictions of active sessions to own successes and evictions. */
    double cacheLossRatio() {
        return mCacheLossRatio;
    }

    double residenceMillis() {
        return mResidenceMillis;
    }

    double promptTokenMillis() {
        return mPrefillTime.tokenMillis();
    }
}
