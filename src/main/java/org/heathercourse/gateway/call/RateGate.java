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
 * Admits one call within the rate of its workspace: by a token that another call gave back, or by
 * an owner of the rate, perhaps after a wait. Confined to the traffic loop.
 */
final class RateGate {
    /** Pause in milliseconds before owners are asked again of whom none answered. */
    private static final long UNANSWERED_MILLIS = 100;

    /** Time to return in milliseconds if no owner answers. */
    private static final long UNANSWERED_RETRY_MILLIS = 500;

    private final Call mCall;
    private final CallDependencies mDependencies;
    private final WorkspaceRates mRates;
    private final Workspace mWorkspace;
    private final boolean mNewcomer;

    /**
     * Creates a gate.
     *
     * @param call told of the outcome
     * @param workspace workspace that the call runs for
     * @param newcomer whether its program has not begun and is not urgent
     */
    RateGate(Call call, Workspace workspace, boolean newcomer) {
        mCall = call;
        mDependencies = call.dependencies();
        mRates = mDependencies.rates();
        mWorkspace = workspace;
        mNewcomer = newcomer;
    }

    /** Takes a token that was given back, else asks the owners of the rate. */
    void enter() {
        if (mCall.done()) {
            return;
        }
        if (!mWorkspace.hasRateLimit()) {
            mCall.rateAdmitted();
        } else if (mRates.acquireRefunded(mWorkspace)) {
            mCall.record().rate("given_back", 0);
            mCall.rateAdmitted();
        } else {
            ask();
        }
    }

    private void ask() {
        RateRequest ask = new RateRequest(mNewcomer, mostMillis());
        mDependencies
                .rateService()
                .thenCompose(
                        service ->
                                service.reserve(mWorkspace.name(), mRates.owners(mWorkspace), ask))
                .whenCompleteAsync((outcome, error) -> onOutcome(outcome), mDependencies.loop());
    }

    private long mostMillis() {
        return RateWaitPolicy.remainingWaitMillis(
                mCall.elapsedMillis(), mCall.remainingMillis(), mNewcomer);
    }

    private void onOutcome(RateService.Outcome outcome) {
        RateGrant grant = outcome == null ? RateGrant.NONE : outcome.grant();
        if (grant.granted()) {
            mCall.record().rate(outcome.owner(), grant.waitMillis());
            if (grant.waitMillis() > 0) {
                mDependencies
                        .loop()
                        .schedule(this::admitted, grant.waitMillis(), TimeUnit.MILLISECONDS);
            } else {
                admitted();
            }
        } else if (!mCall.done()) {
            refuseOrAskAgain(grant);
        }
    }

    private void admitted() {
        if (mCall.done()) {
            mRates.refund(mWorkspace);
        } else {
            mCall.rateAdmitted();
        }
    }

    private void refuseOrAskAgain(RateGrant grant) {
        if (grant.fromOwner()) {
            double point = mDependencies.random().nextDouble();
            mCall.refuse(
                    new ErrorResponse(
                            ErrorKind.RATE_LIMITED,
                            "workspace "
                                    + mWorkspace.name()
                                    + " is above its rate of "
                                    + mRates.describe(mWorkspace)
                                    + ": the next token comes in "
                                    + grant.waitMillis()
                                    + " ms",
                            "send fewer requests, or ask the operator for a higher rate",
                            RateWaitPolicy.retryAfterMillis(mNewcomer, grant.waitMillis(), point)));
        } else if (mostMillis() > UNANSWERED_MILLIS) {
            mDependencies.loop().schedule(this::enter, UNANSWERED_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            mCall.refuse(
                    new ErrorResponse(
                            ErrorKind.OWNER_UNAVAILABLE,
                            "no owner of the rate of workspace "
                                    + mWorkspace.name()
                                    + " answers: "
                                    + mRates.describe(mWorkspace),
                            "send the request again later",
                            UNANSWERED_RETRY_MILLIS));
        }
    }
}
