package org.heathercourse.daemon.call;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.daemon.call.TargetSelector.Choice;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetFailure;

/**
 * Chooses targets for the attempts of one call and reports their results to the selector, the
 * circuit breakers and the retry budget. Used by one thread.
 */
final class AttemptTracker {
    private static final int MAX_ATTEMPTS = 5;
    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2000;

    private final CallDependencies mDependencies;
    private final CircuitBreakers mBreakers;
    private final RetryBudget mRetryBudget;
    private final Job mJob;
    private final TargetSelector.Request mRequestTemplate;
    private final Set<TargetId> mFailedTargets = new HashSet<>();
    private TargetSelector.Request mLastRequest;
    private int mAttemptCount;
    private boolean mMayHaveRun;
    private boolean mInFlight;

    AttemptTracker(
            CallDependencies dependencies,
            CircuitBreakers breakers,
            RetryBudget retryBudget,
            Job job,
            TargetSelector.Request requestTemplate) {
        mDependencies = dependencies;
        mBreakers = breakers;
        mRetryBudget = retryBudget;
        mJob = job;
        mRequestTemplate = requestTemplate;
        retryBudget.onCall(dependencies.config().current().policy().retryBudgetRatio());
    }

    /** Returns whether any attempt may have reached a target. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /**
     * Selects a target that has not failed this call yet; falls back to the failed ones if no other
     * is available.
     */
    Choice selectTarget() {
        checkDeadline();
        Set<TargetId> blocked = mBreakers.blockedTargets();
        Set<TargetId> excluded = new HashSet<>(blocked);
        excluded.addAll(mFailedTargets);
        var choice = mDependencies.selector().select(buildRequest(excluded));
        if (choice.isLeft() && !mFailedTargets.isEmpty()) {
            choice = mDependencies.selector().select(buildRequest(blocked));
        }
        return choice.getOrElseThrow(
                e -> mMayHaveRun ? CallErrors.targetFailed(e.getMessage(), false) : e);
    }

    private TargetSelector.Request buildRequest(Set<TargetId> excluded) {
        mLastRequest =
                new TargetSelector.Request(
                        mRequestTemplate.service(),
                        mRequestTemplate.model(),
                        mRequestTemplate.program(),
                        mRequestTemplate.session(),
                        mRequestTemplate.workspace(),
                        mRequestTemplate.requestClass(),
                        mRequestTemplate.promptTokens(),
                        mRequestTemplate.maxTokens(),
                        mRequestTemplate.spentTokens(),
                        mJob.remainingMillis(),
                        excluded);
        return mLastRequest;
    }

    /**
     * Reports an attempt that is about to be sent.
     *
     * @return the fencing number to send with the attempt
     */
    long beginAttempt(Choice choice) {
        checkDeadline();
        long fence = mJob.requireFence(!mMayHaveRun);
        mAttemptCount++;
        mInFlight = true;
        mDependencies.selector().onDispatched(mLastRequest, choice);
        mDependencies.decisions().recordPlaced(mJob.request(), choice);
        mBreakers.onDispatch(choice.target().target());
        return fence;
    }

    /**
     * Reports an attempt that ended with an answer.
     *
     * @param choice target of the attempt
     * @param usage tokens used
     * @param firstTokenMillis time to the first token or the head of the answer, in milliseconds
     * @param totalMillis time to the end of the answer, in milliseconds
     */
    void onSucceeded(Choice choice, Usage usage, long firstTokenMillis, long totalMillis) {
        mInFlight = false;
        mMayHaveRun = true;
        mBreakers.onSuccess(choice.target().target());
        mDependencies
                .selector()
                .onSucceeded(mLastRequest, choice, usage, firstTokenMillis, totalMillis);
    }

    /** Reports an attempt that ended without an answer; no effect if none is in flight. */
    void onFailed(Choice choice, TargetFailure failure) {
        if (!mInFlight) {
            return;
        }
        mInFlight = false;
        mMayHaveRun |= !failure.kind().provesNotRun();
        mFailedTargets.add(choice.target().target());
        // A refusal indicates load and a cancellation is made by this daemon; neither counts as a
        // failure of the target. An exchange with a streamed body may break because of the caller.
        boolean callerMayBeAtFault =
                mJob.body() == null && failure.kind() == TargetFailure.Kind.BROKEN;
        if (failure.kind() != TargetFailure.Kind.REFUSED
                && failure.kind() != TargetFailure.Kind.CANCELLED
                && !callerMayBeAtFault) {
            mBreakers.onFailure(choice.target().target());
        }
        mDependencies.selector().onFailed(mLastRequest, choice, failure);
    }

    /**
     * Waits for the backoff before another attempt. Returns false, without waiting, if no further
     * attempt is allowed.
     */
    boolean awaitBackoff() {
        if (mAttemptCount >= MAX_ATTEMPTS
                || mJob.answer().cancelled()
                || mJob.remainingMillis() <= 0
                || !mRetryBudget.tryAcquire()) {
            return false;
        }
        long maxBackoffMillis =
                Math.min(INITIAL_BACKOFF_MILLIS << mAttemptCount - 1, MAX_BACKOFF_MILLIS);
        long backoffMillis =
                maxBackoffMillis / 2 + mDependencies.random().nextLong(maxBackoffMillis / 2 + 1);
        if (backoffMillis >= mJob.remainingMillis()) {
            return false;
        }
        try {
            return !new CountDownLatch(1).await(backoffMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw CallErrors.interrupted(!mMayHaveRun);
        }
    }

    /**
     * Checks the deadline of the call.
     *
     * @throws org.heathercourse.core.error.HeathercourseException of kind {@code DEADLINE_EXCEEDED}
     */
    void checkDeadline() {
        if (mJob.remainingMillis() <= 0) {
            throw CallErrors.deadlineExceeded(!mMayHaveRun);
        }
    }

    static TargetAddress addressOf(Choice choice) {
        return new TargetAddress(choice.target().target(), choice.target().baseUrl());
    }
}
