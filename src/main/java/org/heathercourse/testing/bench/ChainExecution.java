package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.TargetId;

/**
 * Progress of a program's main chain of calls or of the chain of one of its sub-agents. Not safe
 * for use by several threads.
 */
final class ChainExecution {
    /** State shared by all chains of a program. */
    static final class Program {
        private final ProgramPlan mPlan;
        private final ProgramId mId;
        private final int mWorkspace;
        private final List<String> mSessions = new ArrayList<>();
        private int mDaemon;

        Program(ProgramPlan plan, int workspace, int daemon) {
            mPlan = plan;
            mId = new ProgramId("p-" + plan.number());
            mWorkspace = workspace;
            mDaemon = daemon;
        }

        ProgramPlan plan() {
            return mPlan;
        }

        ProgramId id() {
            return mId;
        }

        int workspace() {
            return mWorkspace;
        }

        int daemon() {
            return mDaemon;
        }

        void moveTo(int daemon) {
            mDaemon = daemon;
        }

        List<String> sessions() {
            return mSessions;
        }
    }

    private final Program mProgram;
    private final ChainExecution mParent;
    private final String mSession;
    private final List<ProgramPlan.Turn> mChain;
    private final Set<TargetId> mExcludedTargets = new HashSet<>();
    private int mTurnIndex;
    private int mComputedTokens;
    private int mPendingEvents;
    private int mCallEpoch;
    private boolean mInCall;

    ChainExecution(Program program, ChainExecution parent, List<ProgramPlan.Turn> chain) {
        mProgram = program;
        mParent = parent;
        mChain = chain;
        mSession = program.id().value() + "-" + program.sessions().size();
        program.sessions().add(mSession);
    }

    Program program() {
        return mProgram;
    }

    ChainExecution parent() {
        return mParent;
    }

    String session() {
        return mSession;
    }

    Set<TargetId> excludedTargets() {
        return mExcludedTargets;
    }

    ProgramPlan.Turn turn() {
        return mChain.get(mTurnIndex);
    }

    boolean isLastTurn() {
        return mTurnIndex == mChain.size() - 1;
    }

    /** Returns the tokens of the conversation that earlier calls computed. */
    int computedTokens() {
        return mComputedTokens;
    }

    int promptTokens() {
        return mComputedTokens + turn().newTokens();
    }

    double remainingWorkMillis() {
        return ProgramPlan.workMillis(mChain, mTurnIndex, EngineSpec.DEFAULT);
    }

    /**
     * Starts another attempt at the current call and returns its epoch; events of earlier epochs
     * are ignored.
     */
    int beginAttempt() {
        mInCall = true;
        return ++mCallEpoch;
    }

    boolean isCurrent(int epoch) {
        return epoch == mCallEpoch;
    }

    boolean inCall() {
        return mInCall;
    }

    /**
     * Ends the current call.
     *
     * @param pendingEvents events to await before the next call: the pause and the sub-agents
     */
    void endCall(int pendingEvents) {
        mInCall = false;
        mComputedTokens = promptTokens() + turn().outputTokens();
        mPendingEvents = pendingEvents;
        mExcludedTargets.clear();
    }

    /** Records the end of the pause or of a sub-agent; returns whether the next call may start. */
    boolean completeEvent() {
        mPendingEvents--;
        if (mPendingEvents > 0) {
            return false;
        }
        mTurnIndex++;
        return true;
    }
}
