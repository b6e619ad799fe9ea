package org.heathercourse.core.attempt;

import java.util.HashSet;
import java.util.Set;

/**
 * The attempts that were made for one request of a caller, and what may follow.
 *
 * <p>A request that may have run is repeated only if its route allows it, and then at no more
 * targets than the route names; at a target where it may have run already it may be repeated
 * without reaching a further one. Not safe for use by several threads.
 */
public final class AttemptHistory {
    /** Most attempts that may have run, over all targets. */
    private static final int MAX_POSSIBLE_RUNS = 4;

    /** Most attempts of any kind, which bounds the work for one request. */
    private static final int MAX_ATTEMPTS = 12;

    private final boolean mRepeatable;
    private final int mMaxTargets;
    private final Set<String> mMayHaveRunAt = new HashSet<>();
    private final Set<String> mExcluded = new HashSet<>();
    private int mAttempts;
    private int mPossibleRuns;

    /** What to do next. */
    public enum NextAction {
        /** Send it to a target that is not excluded. */
        OTHER_TARGET,
        /** Send it to the same target once more, or to another one if that target is gone. */
        SAME_TARGET,
        /** Tell the caller that it has not run. */
        REFUSE,
        /** Tell the caller that it may have run. */
        FAIL
    }

    /**
     * Creates a history without attempts.
     *
     * @param repeatable whether the request may be sent again after it may have run
     * @param maxTargets most targets on which it may run
     */
    public AttemptHistory(boolean repeatable, int maxTargets) {
        mRepeatable = repeatable;
        mMaxTargets = maxTargets;
    }

    /**
     * Notes the end of an attempt that brought no usable answer.
     *
     * @param targetId identity of the target
     * @param delivery what is certain about it
     * @param targetEnded whether the target is known to have ended
     * @return what to do next
     */
    public NextAction recordAttempt(String targetId, Delivery delivery, boolean targetEnded) {
        mAttempts++;
        if (delivery.provesNotRun()) {
            boolean atTargetLimit =
                    mMayHaveRunAt.size() >= mMaxTargets && mMayHaveRunAt.contains(targetId);
            if (atTargetLimit && !targetEnded) {
                return mAttempts < MAX_ATTEMPTS ? NextAction.SAME_TARGET : NextAction.FAIL;
            }
            mExcluded.add(targetId);
            return mAttempts < MAX_ATTEMPTS ? NextAction.OTHER_TARGET : finalAction();
        }
        mPossibleRuns++;
        mMayHaveRunAt.add(targetId);
        if (targetEnded) {
            // A target that has ended does not count against the most targets of the route.
            mExcluded.add(targetId);
        }
        if (!mRepeatable || mPossibleRuns >= MAX_POSSIBLE_RUNS || mAttempts >= MAX_ATTEMPTS) {
            return NextAction.FAIL;
        }
        return targetEnded || mMayHaveRunAt.size() < mMaxTargets
                ? NextAction.OTHER_TARGET
                : NextAction.SAME_TARGET;
    }

    /** Returns what to tell the caller if no further attempt can be made. */
    public NextAction finalAction() {
        return mPossibleRuns == 0 ? NextAction.REFUSE : NextAction.FAIL;
    }

    /** Returns whether the request, which has not run, may be tried again after a wait. */
    public boolean canRetryAfterDelay() {
        return mPossibleRuns == 0 && mAttempts < MAX_ATTEMPTS;
    }

    /** Lets targets that had no room be tried again. */
    public void resetRejections() {
        mExcluded.retainAll(mMayHaveRunAt);
    }

    /** Returns the identities of targets that must not get the request again. */
    public Set<String> excluded() {
        return mExcluded;
    }

    /** Returns how many attempts have ended. */
    public int attemptCount() {
        return mAttempts;
    }

    /** Returns how many attempts may have run. */
    public int possibleRunCount() {
        return mPossibleRuns;
    }
}
