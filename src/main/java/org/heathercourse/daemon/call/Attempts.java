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
 * Chooses targets for the attempts of one call and keeps selector, breakers and retry budget
 * informed. Used by one thread.
 */
final class Attempts {
    private static final int MAX_ATTEMPTS = 5;
    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2000;

    private final CallDependencies mServices;
    private final Breakers mBreakers;
    private final RetryBudget mRetryBudget;
    private final Job mJob;
    private final TargetSelector.Request mBase;
    private final Set<TargetId> mFailed = new HashSet<>();
    private TargetSelector.Request mSelected;
    private int mAttempts;
    private boolean mMayHaveRun;
    private boolean mOpen;

    Attempts(
            CallDependencies services,
            Breakers breakers,
            RetryBudget retryBudget,
            Job job,
            TargetSelector.Request base) {
        mServices = services;
        mBreakers = breakers;
        mRetryBudget = retryBudget;
        mJob = job;
        mBase = base;
        retryBudget.onCall(services.config().current().policy().retryBudgetRatio());
    }

    /** Returns whether some attempt may have reached a target. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Chooses a target that has not failed this call, or any if all of them have. */
    Choice choose() {
        checkDeadline();
        Set<TargetId> blocked = mBreakers.blocked();
        Set<TargetId> excluded = new HashSet<>(blocked);
        excluded.addAll(mFailed);
        var choice = mServices.selector().select(remember(excluded));
        if (choice.isLeft() && !mFailed.isEmpty()) {
            choice = mServices.selector().select(remember(blocked));
        }
        return choice.getOrElseThrow(
                e -> mMayHaveRun ? CallErrors.targetFailed(e.getMessage(), false) : e);
    }

    private TargetSelector.Request remember(Set<TargetId> excluded) {
        mSelected =
                new TargetSelector.Request(
                        mBase.service(),
                        mBase.model(),
                        mBase.program(),
                        mBase.session(),
                        mBase.workspace(),
                        mBase.requestClass(),
                        mBase.promptTokens(),
                        mBase.maxTokens(),
                        mBase.spentTokens(),
                        mJob.remainingMillis(),
                        excluded);
        return mSelected;
    }

    /**
     * Notes that an attempt is sent now.
     *
     * @return the fencing number to send along
     */
    long begin(Choice choice) {
        checkDeadline();
        long fence = mJob.fence(!mMayHaveRun);
        mAttempts++;
        mOpen = true;
        mServices.selector().onDispatched(mSelected, choice);
        mServices.decisions().recordPlaced(mJob.request(), choice);
        mBreakers.onDispatch(choice.target().target());
        return fence;
    }

    void succeeded(Choice choice, Usage usage, long firstMillis, long totalMillis) {
        mOpen = false;
        mMayHaveRun = true;
        mBreakers.onSuccess(choice.target().target());
        mServices.selector().onSucceeded(mSelected, choice, usage, firstMillis, totalMillis);
    }

    /** Notes the end of an attempt without an answer; no effect if it has ended already. */
    void failed(Choice choice, TargetFailure failure) {
        if (!mOpen) {
            return;
        }
        mOpen = false;
        mMayHaveRun |= !failure.kind().provesNotRun();
        mFailed.add(choice.target().target());
        // A refusal is a sign of load and a cancellation is our own doing; neither is a fault. A
        // broken exchange whose body is a stream may be the fault of the caller who sends it.
        boolean callers = mJob.body() == null && failure.kind() == TargetFailure.Kind.BROKEN;
        if (failure.kind() != TargetFailure.Kind.REFUSED
                && failure.kind() != TargetFailure.Kind.CANCELLED
                && !callers) {
            mBreakers.onFailure(choice.target().target());
        }
        mServices.selector().onFailed(mSelected, choice, failure);
    }

    /** Returns whether another attempt may be made, after a delay that has then passed. */
    boolean retryAfterPause() {
        if (mAttempts >= MAX_ATTEMPTS
                || mJob.answer().cancelled()
                || mJob.remainingMillis() <= 0
                || !mRetryBudget.tryRetry()) {
            return false;
        }
        long limit = Math.min(FIRST_BACKOFF_MILLIS << mAttempts - 1, MAX_BACKOFF_MILLIS);
        long pause = limit / 2 + mServices.random().nextLong(limit / 2 + 1);
        if (pause >= mJob.remainingMillis()) {
            return false;
        }
        try {
            return !new CountDownLatch(1).await(pause, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw CallErrors.interrupted(!mMayHaveRun);
        }
    }

    void checkDeadline() {
        if (mJob.remainingMillis() <= 0) {
            throw CallErrors.deadline(!mMayHaveRun);
        }
    }

    static TargetAddress address(Choice choice) {
        return new TargetAddress(choice.target().target(), choice.target().baseUrl());
    }
}
