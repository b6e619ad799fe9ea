package org.heathercourse.gateway.call;

import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.crash.CrashTable;
import org.heathercourse.core.crash.RequestDigest;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.target.Target;
import org.heathercourse.gateway.control.CrashRecordService;

/**
 * Keeps the request of one call away from targets if requests with the same digest have crashed
 * targets, and records how targets fare with it. Costs nothing while no crash is on record.
 * Confined to the traffic loop.
 */
final class CrashGuard {
    private static final int MIN_FAILURE_STATUS = 300;

    private final CrashRecordService mRecords;
    private final CallRequest mRequest;
    private final String mWorkspace;
    private RequestDigest mDigest;
    private RequestDigest mPathDigest;

    /**
     * Creates a guard.
     *
     * @param records crashes that are known to all gateways
     * @param request the request
     * @param workspace name of the caller's workspace; null for an anonymous caller
     */
    CrashGuard(CrashRecordService records, CallRequest request, String workspace) {
        mRecords = records;
        mRequest = request;
        mWorkspace = workspace;
    }

    /** Returns the digest by which the request is recognized when it comes again. */
    RequestDigest digest() {
        if (mDigest == null) {
            mDigest =
                    RequestDigest.of(
                            mWorkspace, mRequest.method(), mRequest.uri(), mRequest.body());
        }
        return mDigest;
    }

    private RequestDigest pathDigest() {
        if (mPathDigest == null) {
            mPathDigest = RequestDigest.ofPath(mWorkspace, mRequest.method(), mRequest.uri());
        }
        return mPathDigest;
    }

    /** Returns whether the request must not be sent to a target. */
    boolean isQuarantined() {
        return !mRecords.table().quarantinedDigests().isEmpty()
                && (mRecords.isQuarantined(digest()) || mRecords.isQuarantined(pathDigest()));
    }

    /**
     * Records that a target ended while it ran the request.
     *
     * @param target the target
     * @param runMillis time in milliseconds since the request was sent to it
     * @return completes when {@link #isQuarantined} takes the crash into account, on any thread
     */
    CompletableFuture<Void> recordCrash(Target target, long runMillis) {
        String incarnation = target.incarnation();
        return CompletableFuture.allOf(
                mRecords.recordCrash(digest(), incarnation, runMillis),
                mRecords.recordCrash(pathDigest(), incarnation, runMillis));
    }

    /**
     * Records that a target has responded to the request completely. Only a success shows that the
     * target has run it; errors may come before that, or from something in front of the target.
     */
    void recordAnswer(int status) {
        if (status < MIN_FAILURE_STATUS && !mRecords.table().isEmpty()) {
            mRecords.recordSuccess(digest());
            mRecords.recordSuccess(pathDigest());
        }
    }

    /** Returns the response to a quarantined request that has run at no target. */
    ErrorResponse notRun() {
        return new ErrorResponse(
                ErrorKind.QUARANTINED,
                "the request has not run: " + reason(),
                "change the request, or ask the operator to clear its digest",
                mRecords.remainingQuarantineMillis(quarantinedDigest()));
    }

    /** Returns why the request is quarantined. */
    String reason() {
        return CrashTable.CRASH_LIMIT
                + " targets or more ended one after the other while they ran requests with digest "
                + quarantinedDigest();
    }

    private RequestDigest quarantinedDigest() {
        return mRecords.isQuarantined(digest()) ? digest() : pathDigest();
    }
}
