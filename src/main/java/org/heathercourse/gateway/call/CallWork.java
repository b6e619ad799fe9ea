package org.heathercourse.gateway.call;

import java.util.List;
import org.heathercourse.core.load.EngineCost;
import org.heathercourse.core.load.OwnWork;
import org.heathercourse.core.load.PromptWork;
import org.heathercourse.core.load.SizePriority;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetSelector.SelectionContext;
import org.heathercourse.platform.entry.CallFacts;

/**
 * The work that one call brings to targets, while gateways share their load; does nothing
 * otherwise. Confined to the traffic loop.
 */
final class CallWork {
    private final CallDependencies mDependencies;
    private final LoadTracking mTracking;
    private final CallFacts mFacts;
    private final Admission mAdmission;
    private final long mBodyBytes;
    private final boolean mEnabled;
    private boolean mPreferred;
    private String mBasis = "off";
    private long mKnownAgeMillis = -1;

    CallWork(CallDependencies dependencies, CallFacts facts, Admission admission, long bodyBytes) {
        mDependencies = dependencies;
        mTracking = dependencies.loadTracking();
        mFacts = facts;
        mAdmission = admission;
        mBodyBytes = bodyBytes;
        mEnabled = mTracking.sharing().isEnabled();
    }

    /** Records which target was selected, and what was known. */
    void recordSelection(List<Target> candidates, Target selected, SelectionContext context) {
        if (!mEnabled) {
            return;
        }
        mPreferred = mDependencies.targetSelector().isPreferred(candidates, selected, context);
        mKnownAgeMillis = mTracking.waits().ageMillis();
        boolean shared = mTracking.waits().isShared();
        mBasis = shared ? "shared" : "own";
        mDependencies.metrics().recordSelection(shared);
    }

    /** Returns whether the selected target is the one that ran the program before. */
    boolean isAtPreferredTarget() {
        return mPreferred;
    }

    /** Returns from what the load was estimated: shared, own, or off if load is not shared. */
    String basis() {
        return mBasis;
    }

    /** Returns the age in milliseconds of the shared load at the selection; -1 without one. */
    long knownAgeMillis() {
        return mKnownAgeMillis;
    }

    /** Records a dispatch to a target; returns null while load is not shared. */
    OwnWork.Ticket begin(Target target) {
        if (!mEnabled) {
            return null;
        }
        long now = mDependencies.ticker().readMillis();
        long prompt = promptTokens();
        long output =
                mFacts.maxOutputTokens() > 0
                        ? mFacts.maxOutputTokens()
                        : EngineCost.DEFAULT_OUTPUT_TOKENS;
        double expectedMillis = mTracking.waits().expectedMillis(target, prompt, output, now);
        return mTracking.own().begin(target, prompt, output, expectedMillis, now);
    }

    private long promptTokens() {
        boolean hasOnlyInput = mAdmission.route().retainsHistory();
        return PromptWork.tokens(mFacts.promptTokens(), mPreferred, hasOnlyInput ? mBodyBytes : -1);
    }

    /**
     * Returns the priority that the target sees.
     *
     * @param elapsedMillis time since the call arrived, in milliseconds
     */
    int priority(long elapsedMillis) {
        if (!mEnabled) {
            return mAdmission.priority();
        }
        long programMillis =
                mFacts.programDeadlineMillis().isPresent()
                        ? mFacts.programDeadlineMillis().getAsLong() - elapsedMillis
                        : Long.MAX_VALUE;
        return SizePriority.of(
                mAdmission.priority(),
                new SizePriority.Request(
                        promptTokens(),
                        mAdmission.route().objectiveMillis(),
                        elapsedMillis,
                        programMillis));
    }
}
