package org.heathercourse.gateway.call;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.gateway.target.BodyFraming;
import org.heathercourse.gateway.target.TargetPool;

/** Metrics of calls and of connections to targets. Safe for use by several threads. */
public final class CallMetrics implements TargetPool.PoolEvents {
    private final MetricRegistry mRegistry;
    private final Histogram mFirstByteMillis;
    private final Histogram mTotalMillis;
    private final Histogram mBudgetMillis;
    private final Histogram mHistoryBytes;
    private final Histogram mHistoryReadMillis;
    private final Histogram mTurnHeldMillis;
    private final Meter mTurnsNotKept;
    private final Meter mAnswered;
    private final Meter mAborted;
    private final Meter mCallerDisconnected;
    private final Meter mRetried;
    private final Meter mResumed;
    private final Meter mTargetCrashes;
    private final Meter mTargetsLeaving;
    private final Meter mSentToCold;
    private final Meter mConnected;
    private final Meter mConnectFailed;
    private final Meter mSkippedResponses;
    private final Meter mUnexpectedBytes;
    private final Meter mSharedSelections;
    private final Meter mFallbackSelections;

    /**
     * Creates the metrics.
     *
     * @param registry registry for the metrics
     */
    public CallMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mFirstByteMillis = registry.histogram("call_first_byte_millis");
        mTotalMillis = registry.histogram("call_total_millis");
        mBudgetMillis = registry.histogram("call_budget_millis");
        mHistoryBytes = registry.histogram("call_history_bytes");
        mHistoryReadMillis = registry.histogram("call_history_read_millis");
        mTurnHeldMillis = registry.histogram("call_turn_held_millis");
        mTurnsNotKept = registry.meter("turns_not_kept");
        mAnswered = registry.meter("calls_answered");
        mAborted = registry.meter("calls_broken_off");
        mCallerDisconnected = registry.meter("calls_left_by_caller");
        mRetried = registry.meter("attempts_repeated");
        mResumed = registry.meter("streams_resumed");
        mTargetCrashes = registry.meter("attempts_ended_by_target_crash");
        mTargetsLeaving = registry.meter("targets_leaving_by_own_word");
        mSentToCold = registry.meter("cold_target_requests");
        mConnected = registry.meter("target_connections_opened");
        mConnectFailed = registry.meter("target_connections_failed");
        mSkippedResponses = registry.meter("target_answers_skipped");
        mUnexpectedBytes = registry.meter("target_bytes_unexpected");
        mSharedSelections = registry.meter("selections_by_shared_load");
        mFallbackSelections = registry.meter("selections_by_own_load");
    }

    void recordAnswered(long firstByteMillis, long totalMillis) {
        mAnswered.mark();
        mFirstByteMillis.update(firstByteMillis);
        mTotalMillis.update(totalMillis);
    }

    /** Counts a response of a target by the framing of its body. */
    void recordFraming(BodyFraming framing) {
        mRegistry.meter("target_responses{framing=\"" + framing.logName() + "\"}").mark();
    }

    void recordErrorResponse(ErrorKind kind) {
        mRegistry.meter("calls_refused{kind=\"" + kind.wireName() + "\"}").mark();
    }

    void recordAborted() {
        mAborted.mark();
    }

    void recordCallerDisconnected() {
        mCallerDisconnected.mark();
    }

    void recordRetry() {
        mRetried.mark();
    }

    void recordTargetCrash() {
        mTargetCrashes.mark();
    }

    /** Counts a target that gets no new requests because it said itself that it leaves. */
    public void recordTargetLeaving() {
        mTargetsLeaving.mark();
    }

    /** Counts a request that is sent to a cold target. */
    void recordSentToCold() {
        mSentToCold.mark();
    }

    void recordResume() {
        mResumed.mark();
    }

    void recordBudgetReservation(long millis) {
        mBudgetMillis.update(millis);
    }

    /** Records the size of a history that is sent to targets. */
    void recordHistoryBytes(long bytes) {
        mHistoryBytes.update(bytes);
    }

    /** Records the time for which a turn waited for its history. */
    void recordHistoryRead(long millis) {
        mHistoryReadMillis.update(millis);
    }

    /** Counts a turn that was refused because of its history. */
    void recordHistoryRefusal(HistoryRefusal refusal) {
        mRegistry.meter("history_refusals{reason=\"" + refusal.logName() + "\"}").mark();
    }

    /**
     * Records the wait of a response's end for the write of its turn.
     *
     * @param kept whether the turn is certainly durable
     * @param heldMillis duration of the wait in milliseconds
     */
    void recordTurnWrite(boolean kept, long heldMillis) {
        mTurnHeldMillis.update(heldMillis);
        if (!kept) {
            mTurnsNotKept.mark();
        }
    }

    /** Counts a selection of a target while gateways share their load. */
    void recordSelection(boolean usedSharedLoad) {
        (usedSharedLoad ? mSharedSelections : mFallbackSelections).mark();
    }

    @Override
    public void onConnect() {
        mConnected.mark();
    }

    @Override
    public void onConnectFailed() {
        mConnectFailed.mark();
    }

    @Override
    public void onResponseSkipped() {
        mSkippedResponses.mark();
    }

    @Override
    public void onUnexpectedBytes() {
        mUnexpectedBytes.mark();
    }
}
