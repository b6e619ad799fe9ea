package org.heathercourse.gateway.call;

import java.util.Arrays;
import java.util.stream.Stream;
import org.heathercourse.core.attempt.Delivery;
import org.heathercourse.core.crash.RequestDigest;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetState;
import org.heathercourse.gateway.control.BudgetService.Reservation;
import org.heathercourse.gateway.target.BodyFraming;
import org.heathercourse.gateway.target.ConnectionUse;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.entry.CallFacts;

/** Collects the data of a call and logs it in one line at its end. Confined to the traffic loop. */
final class CallLogEntry {
    private static final EventLog LOG = EventLog.of(Call.class);

    private final CallFacts mFacts;
    private final long mArrivedMillis;
    private Admission mAdmission;
    private long mLeavingMillis = -1;
    private long mConfigurationAgeMillis;
    private String mBudget = "none";
    private long mBudgetMillis;
    private String mRate = "none";
    private long mRateWaitMillis;
    private long mCapacityWaitMillis;
    private long mHistoryBytes;
    private long mHistoryReadMillis = -1;
    private long mTurnHeldMillis = -1;
    private HistoryRefusal mHistoryRefusal = HistoryRefusal.NONE;
    private int mFailedAttempts;
    private String mOutcome = "open";
    private int mStatus;
    private String mFraming = "";
    private ConnectionUse mConnectionUse = ConnectionUse.NONE;
    private int mSkippedResponses;
    private String mReason = "";
    private long mFirstByteMillis = -1;
    private long mEventCount;
    private CallWork mWork;

    CallLogEntry(CallFacts facts, long arrivedMillis) {
        mFacts = facts;
        mArrivedMillis = arrivedMillis;
    }

    void recordConfigurationAge(long ageMillis) {
        mConfigurationAgeMillis = ageMillis;
    }

    /** Records for how long the gateway had been leaving on arrival, -1 if it was not. */
    void recordLeaving(long leavingMillis) {
        mLeavingMillis = leavingMillis;
    }

    void recordAdmission(Admission admission) {
        mAdmission = admission;
    }

    /**
     * Records the admission within the rate limit of the workspace.
     *
     * @param owner VM that granted the token, or {@code given_back} for a refunded one
     * @param waitMillis wait until the token is valid, in milliseconds
     */
    void recordRate(String owner, long waitMillis) {
        mRate = owner;
        mRateWaitMillis = waitMillis;
    }

    /** Adds a wait for a target with capacity, in milliseconds. */
    void addCapacityWait(long delayMillis) {
        mCapacityWaitMillis += delayMillis;
    }

    /** Records the size in bytes of the history that targets receive ahead of the input. */
    void recordHistoryBytes(long bytes) {
        mHistoryBytes = bytes;
    }

    /** Records the time in milliseconds until the history was read, or could not be. */
    void recordHistoryRead(long millis) {
        mHistoryReadMillis = millis;
    }

    /** Records the time in milliseconds for which the response's end waited for a write. */
    void recordTurnHeld(long millis) {
        mTurnHeldMillis = millis;
    }

    /** Records why the history refuses the turn. */
    void recordHistoryRefusal(HistoryRefusal refusal) {
        mHistoryRefusal = refusal;
    }

    /** Records why the target was selected. */
    void recordSelection(CallWork work) {
        mWork = work;
    }

    void recordBudget(Reservation reservation, long durationMillis) {
        mBudgetMillis = durationMillis;
        if (reservation != null) {
            String owner = reservation.owner() == null ? "self" : reservation.owner().vm().value();
            mBudget = reservation.outcome().wireName() + "@" + owner;
        }
    }

    /** Logs a failed attempt; the line at the end of the call names the last target only. */
    void logFailedAttempt(
            Attempt attempt, TargetState state, Delivery delivery, boolean ended, String reason) {
        Target target = attempt.target();
        ConnectionUse use = attempt.connectionUse();
        mFailedAttempts++;
        LOG.info(
                "attempt_failed",
                "id",
                mFacts.requestId(),
                "target",
                target.id(),
                "status",
                attempt.status(),
                "connection",
                use.connectionId(),
                "connectionRequests",
                use.carriedRequests(),
                "connectionAgeMillis",
                use.ageMillis(),
                "connectionIdleMillis",
                use.idleMillis(),
                "skippedResponses",
                attempt.skippedResponses(),
                "service",
                target.service(),
                "targetState",
                state.logName(),
                "targetEnded",
                ended,
                "delivery",
                delivery,
                "framing",
                logName(attempt.framing()),
                "reason",
                reason);
    }

    /** Logs that a turn is not certain to be durable; its response does not end. */
    void logTurnNotKept(Throwable error, long heldMillis) {
        LOG.warn(
                "turn_not_kept",
                "id",
                mFacts.requestId(),
                "previousTurn",
                mFacts.previousTurnId(),
                "heldMillis",
                heldMillis,
                "reason",
                error);
    }

    /** Logs that a target ended while it ran the request. */
    void logTargetCrash(Target target, RequestDigest digest) {
        LOG.info(
                "target_crashed",
                "id",
                mFacts.requestId(),
                "digest",
                digest,
                "target",
                target.incarnation(),
                "service",
                target.service());
    }

    /** Logs that a target said in its response that it is cold. */
    void logTargetCold(Target target, long remainingMillis) {
        LOG.info(
                "target_cold",
                "target",
                target.id(),
                "remainingMillis",
                remainingMillis,
                "cause",
                "response");
    }

    void recordAnswered(Attempt attempt, long firstByteMillis, long eventCount) {
        mOutcome = "answered";
        mStatus = attempt.status();
        mFraming = logName(attempt.framing());
        mConnectionUse = attempt.connectionUse();
        mSkippedResponses = attempt.skippedResponses();
        mFirstByteMillis = firstByteMillis;
        mEventCount = eventCount;
    }

    private static String logName(BodyFraming framing) {
        return framing == null ? "" : framing.logName();
    }

    void recordErrorResponse(ErrorResponse error) {
        mOutcome = "refused";
        mStatus = error.kind().httpStatus();
        mReason = error.kind().wireName() + ": " + error.message();
    }

    void recordAborted(ErrorResponse error) {
        mOutcome = "broken_off";
        mReason = error.message();
    }

    void recordCallerDisconnected() {
        mOutcome = "caller_gone";
    }

    /** Logs a call that is still active when the process has to exit. */
    void logCutOff(long nowMillis, Target target, boolean mayHaveRun) {
        LOG.warn(
                "call_cut_off",
                "id",
                mFacts.requestId(),
                "program",
                mFacts.programId(),
                "route",
                mAdmission == null ? "" : mAdmission.route().name(),
                "target",
                target == null ? "" : target.id(),
                "mayHaveRun",
                mayHaveRun,
                "leavingMillis",
                mLeavingMillis,
                "totalMillis",
                nowMillis - mArrivedMillis);
    }

    /**
     * Logs the call; first what tells one case of a fault from another, as records are cut short.
     */
    void log(long nowMillis, Target target) {
        LOG.info(
                "call",
                "id",
                mFacts.requestId(),
                "outcome",
                mOutcome,
                "status",
                mStatus,
                "target",
                target == null ? "" : target.id(),
                "failedAttempts",
                mFailedAttempts,
                "connection",
                mConnectionUse.connectionId(),
                "connectionRequests",
                mConnectionUse.carriedRequests(),
                "connectionAgeMillis",
                mConnectionUse.ageMillis(),
                "connectionIdleMillis",
                mConnectionUse.idleMillis(),
                "skippedResponses",
                mSkippedResponses,
                "program",
                mFacts.programId(),
                "route",
                mAdmission == null ? "" : mAdmission.route().name(),
                "kind",
                mAdmission == null ? "" : mAdmission.route().kind(),
                "workspace",
                mAdmission == null ? "" : mAdmission.workspaceName(),
                "version",
                mAdmission == null ? "" : mAdmission.routing().version(),
                "configurationAgeMillis",
                mConfigurationAgeMillis,
                "rate",
                mRate,
                "rateWaitMillis",
                mRateWaitMillis,
                "budget",
                mBudget,
                "budgetMillis",
                mBudgetMillis,
                "historyBytes",
                mHistoryBytes,
                "historyReadMillis",
                mHistoryReadMillis,
                "historyRefusal",
                mHistoryRefusal.logName(),
                "turnHeldMillis",
                mTurnHeldMillis,
                "roomWaitMillis",
                mCapacityWaitMillis,
                "loadBasis",
                mWork == null ? "" : mWork.basis(),
                "loadAgeMillis",
                mWork == null ? -1 : mWork.knownAgeMillis(),
                "atPreferredTarget",
                mWork != null && mWork.isAtPreferredTarget(),
                "framing",
                mFraming,
                "events",
                mEventCount,
                "firstByteMillis",
                mFirstByteMillis,
                "totalMillis",
                nowMillis - mArrivedMillis,
                "leavingMillis",
                mLeavingMillis,
                "reason",
                mReason);
        Object[] pairs = {
            "id",
            mFacts.requestId(),
            "outcome",
            mOutcome,
            "status",
            mStatus,
            "target",
            target == null ? "" : target.id(),
            "failedAttempts",
            mFailedAttempts,
            "connection",
            mConnectionUse.connectionId(),
            "connectionRequests",
            mConnectionUse.carriedRequests(),
            "connectionAgeMillis",
            mConnectionUse.ageMillis(),
            "connectionIdleMillis",
            mConnectionUse.idleMillis(),
            "skippedResponses",
            mSkippedResponses,
            "program",
            mFacts.programId(),
            "route",
            mAdmission == null ? "" : mAdmission.route().name(),
            "kind",
            mAdmission == null ? "" : mAdmission.route().kind(),
            "workspace",
            mAdmission == null ? "" : mAdmission.workspaceName(),
            "version",
            mAdmission == null ? "" : mAdmission.routing().version(),
            "configurationAgeMillis",
            mConfigurationAgeMillis,
            "rate",
            mRate,
            "rateWaitMillis",
            mRateWaitMillis,
            "budget",
            mBudget,
            "budgetMillis",
            mBudgetMillis,
            "roomWaitMillis",
            mCapacityWaitMillis,
            "framing",
            mFraming,
            "events",
            mEventCount,
            "firstByteMillis",
            mFirstByteMillis,
            "totalMillis",
            nowMillis - mArrivedMillis,
            "leavingMillis",
            mLeavingMillis,
            "reason",
            mReason
        };
        boolean hasHistory = mAdmission != null && mAdmission.route().retainsHistory();
        LOG.info("call", hasHistory ? withHistory(pairs) : pairs);
    }

    private Object[] withHistory(Object[] pairs) {
        Object[] historyPairs = {
            "historyBytes",
            mHistoryBytes,
            "historyReadMillis",
            mHistoryReadMillis,
            "historyRefusal",
            mHistoryRefusal.logName(),
            "turnHeldMillis",
            mTurnHeldMillis
        };
        return Stream.concat(Arrays.stream(pairs), Arrays.stream(historyPairs)).toArray();
    }
}
