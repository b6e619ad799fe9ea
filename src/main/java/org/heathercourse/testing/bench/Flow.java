package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.TargetId;

/** The progress of a program's main chain or of one of its sub-agents. */
final class Flow {
    /** What the chains of a program share. */
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
    private final Flow mParent;
    private final String mSession;
    private final List<ProgramPlan.Turn> mChain;
    private final Set<TargetId> mExcluded = new HashSet<>();
    private int mNext;
    private int mComputedTokens;
    private int mWaitingFor;
    private int mCallEpoch;
    private boolean mInCall;

    Flow(Program program, Flow parent, List<ProgramPlan.Turn> chain) {
        mProgram = program;
        mParent = parent;
        mChain = chain;
        mSession = program.id().value() + "-" + program.sessions().size();
        program.sessions().add(mSession);
    }

    Program program() {
        return mProgram;
    }

    Flow parent() {
        return mParent;
    }

    String session() {
        return mSession;
    }

    Set<TargetId> excluded() {
        return mExcluded;
    }

    ProgramPlan.Turn turn() {
        return mChain.get(mNext);
    }

    boolean atLastTurn() {
        return mNext == mChain.size() - 1;
    }

    /** Tokens of the conversation that were computed by earlier calls. */
    int computedTokens() {
        return mComputedTokens;
    }

    int promptTokens() {
        return mComputedTokens + turn().newTokens();
    }

    double remainingWorkMillis() {
        return ProgramPlan.workMillis(mChain, mNext, EngineSpec.DEFAULT);
    }

    /** Starts another try of the call and returns its number; results of older tries are void. */
    int beginTry() {
        mInCall = true;
        return ++mCallEpoch;
    }

    boolean isCurrent(int epoch) {
        return epoch == mCallEpoch;
    }

    boolean inCall() {
        return mInCall;
    }

    /** Ends the call and waits for the given number of events: pause and sub-agents. */
    void endCall(int waitingFor) {
        mInCall = false;
        mComputedTokens = promptTokens() + turn().outputTokens();
        mWaitingFor = waitingFor;
        mExcluded.clear();
    }

    /** Records an event; returns whether the next call may start. */
    boolean arrived() {
        mWaitingFor--;
        if (mWaitingFor > 0) {
            return false;
        }
        mNext++;
        return true;
    }
}
