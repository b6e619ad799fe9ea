package org.heathercourse.gateway.call;

import org.heathercourse.core.attempt.Delivery;
import org.heathercourse.core.target.Target;
import org.heathercourse.gateway.control.BudgetService.Reservation;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.entry.CallFacts;

/** What happened to a call, for one line of the log when it ends. Confined to the traffic loop. */
final class CallRecord {
    private static final EventLog LOG = EventLog.of(Call.class);

    private final CallFacts mFacts;
    private final long mArrivedMillis;
    private Admission mAdmission;
    private long mConfigurationAgeMillis;
    private String mBudget = "none";
    private long mBudgetMillis;
    private String mRate = "none";
    private long mRateWaitMillis;
    private long mRoomWaitMillis;
    private int mFailedAttempts;
    private String mOutcome = "open";
    private int mStatus;
    private String mReason = "";
    private long mFirstByteMillis = -1;
    private long mEvents;

    CallRecord(CallFacts facts, long arrivedMillis) {
        mFacts = facts;
        mArrivedMillis = arrivedMillis;
    }

    void configurationAgeMillis(long ageMillis) {
        mConfigurationAgeMillis = ageMillis;
    }

    void admitted(Admission admission) {
        mAdmission = admission;
    }

    /** Notes who admitted the call within its workspace's rate, and how long it has to wait. */
    void rate(String owner, long waitMillis) {
        mRate = owner;
        mRateWaitMillis = waitMillis;
    }

    /** Adds a pause in which no target had room. */
    void roomWaitMillis(long pauseMillis) {
        mRoomWaitMillis += pauseMillis;
    }

    void budget(Reservation reservation, long tookMillis) {
        mBudgetMillis = tookMillis;
        if (reservation != null) {
            String owner = reservation.owner() == null ? "self" : reservation.owner().vm().value();
            mBudget = reservation.outcome().wireName() + "@" + owner;
        }
    }

    /** Writes a line for a failed attempt, because the final line names the last one only. */
    void attemptFailed(Target target, Delivery delivery, String reason) {
        mFailedAttempts++;
        LOG.info(
                "attempt_failed",
                "id",
                mFacts.requestId(),
                "target",
                target.id(),
                "service",
                target.service(),
                "delivery",
                delivery,
                "reason",
                reason);
    }

    void answered(int status, long firstByteMillis, long events) {
        mOutcome = "answered";
        mStatus = status;
        mFirstByteMillis = firstByteMillis;
        mEvents = events;
    }

    void refused(ErrorResponse refusal) {
        mOutcome = "refused";
        mStatus = refusal.kind().httpStatus();
        mReason = refusal.kind().wireName() + ": " + refusal.message();
    }

    void brokenOff(ErrorResponse refusal) {
        mOutcome = "broken_off";
        mReason = refusal.message();
    }

    void callerGone() {
        mOutcome = "caller_gone";
    }

    void write(long nowMillis, Target target) {
        LOG.info(
                "call",
                "id",
                mFacts.requestId(),
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
                "target",
                target == null ? "" : target.id(),
                "roomWaitMillis",
                mRoomWaitMillis,
                "failedAttempts",
                mFailedAttempts,
                "outcome",
                mOutcome,
                "status",
                mStatus,
                "events",
                mEvents,
                "firstByteMillis",
                mFirstByteMillis,
                "totalMillis",
                nowMillis - mArrivedMillis,
                "reason",
                mReason);
    }
}
