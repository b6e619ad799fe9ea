package org.heathercourse.gateway.call;

import java.util.concurrent.TimeUnit;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.limits.RateGrant;
import org.heathercourse.core.limits.RateRequest;
import org.heathercourse.core.limits.RateWaitPolicy;
import org.heathercourse.core.limits.WorkspaceRates;
import org.heathercourse.core.routing.Workspace;
import org.heathercourse.gateway.control.RateService;

/**
 * Admits one call within the rate limit of its workspace: with a token that another call refunded,
 * else with one granted by an owner of the rate, possibly after a wait. Confined to the traffic
 * loop.
 */
final class RateAdmission {
    /** Delay in milliseconds before the owners are queried again after none of them replied. */
    private static final long OWNER_RETRY_DELAY_MILLIS = 100;

    /** Retry-After in milliseconds if no owner replies. */
    private static final long OWNER_UNAVAILABLE_RETRY_AFTER_MILLIS = 500;

    private final Call mCall;
    private final CallDependencies mDependencies;
    private final WorkspaceRates mRates;
    private final Workspace mWorkspace;
    private final boolean mNewProgram;

    /**
     * Creates an admission that has not started.
     *
     * @param call receives the outcome
     * @param workspace workspace that the call runs for
     * @param newProgram whether no turn of its program has run yet and the call has no urgent
     *     priority; such a call waits less time for a token
     */
    RateAdmission(Call call, Workspace workspace, boolean newProgram) {
        mCall = call;
        mDependencies = call.dependencies();
        mRates = mDependencies.rates();
        mWorkspace = workspace;
        mNewProgram = newProgram;
    }

    /** Acquires a refunded token, else requests one from the owners of the rate. */
    void requestAdmission() {
        if (mCall.isEnded()) {
            return;
        }
        if (!mWorkspace.hasRateLimit()) {
            mCall.onRateAdmitted();
        } else if (mRates.acquireRefunded(mWorkspace)) {
            mCall.logEntry().recordRate("given_back", 0);
            mCall.onRateAdmitted();
        } else {
            requestToken();
        }
    }

    private void requestToken() {
        RateRequest request = new RateRequest(mNewProgram, maxWaitMillis());
        mDependencies
                .rateService()
                .thenCompose(
                        service ->
                                service.reserve(
                                        mWorkspace.name(), mRates.owners(mWorkspace), request))
                .whenCompleteAsync((outcome, error) -> onOutcome(outcome), mDependencies.loop());
    }

    private long maxWaitMillis() {
        return RateWaitPolicy.remainingWaitMillis(
                mCall.elapsedMillis(), mCall.remainingMillis(), mNewProgram);
    }

    private void onOutcome(RateService.Outcome outcome) {
        RateGrant grant = outcome == null ? RateGrant.NONE : outcome.grant();
        if (grant.granted()) {
            mCall.logEntry().recordRate(outcome.owner(), grant.waitMillis());
            if (grant.waitMillis() > 0) {
                mDependencies
                        .loop()
                        .schedule(this::admitOrRefund, grant.waitMillis(), TimeUnit.MILLISECONDS);
            } else {
                admitOrRefund();
            }
        } else if (!mCall.isEnded()) {
            rejectOrRetry(grant);
        }
    }

    private void admitOrRefund() {
        if (mCall.isEnded()) {
            mRates.refund(mWorkspace);
        } else {
            mCall.onRateAdmitted();
        }
    }

    private void rejectOrRetry(RateGrant grant) {
        if (grant.fromOwner()) {
            double jitter = mDependencies.random().nextDouble();
            mCall.endWithError(
                    new ErrorResponse(
                            ErrorKind.RATE_LIMITED,
                            "workspace "
                                    + mWorkspace.name()
                                    + " exceeds its rate of "
                                    + mRates.describe(mWorkspace)
                                    + ": the next token is available in "
                                    + grant.waitMillis()
                                    + " ms",
                            "send fewer requests, or ask the operator for a higher rate",
                            RateWaitPolicy.retryAfterMillis(
                                    mNewProgram, grant.waitMillis(), jitter)));
        } else if (maxWaitMillis() > OWNER_RETRY_DELAY_MILLIS) {
            mDependencies
                    .loop()
                    .schedule(
                            this::requestAdmission,
                            OWNER_RETRY_DELAY_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else {
            mCall.endWithError(
                    new ErrorResponse(
                            ErrorKind.OWNER_UNAVAILABLE,
                            "no owner of the rate of workspace "
                                    + mWorkspace.name()
                                    + " replies: "
                                    + mRates.describe(mWorkspace),
                            "retry the request later",
                            OWNER_UNAVAILABLE_RETRY_AFTER_MILLIS));
        }
    }
}
