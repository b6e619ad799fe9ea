package org.heathercourse.gateway.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.budget.ProgramBudget;
import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.platform.rows.RowKey;

/**
 * The budget of a program at its owner, with the turns that wait for it. State of {@link
 * BudgetLedger}, which alone changes it; confined to the control thread.
 */
final class BudgetAccount {
    /** A turn that waits for its reservation, at most until {@code untilMillis} of the ticker. */
    record WaitingTurn(
            long limitTokens,
            long needTokens,
            long untilMillis,
            CompletableFuture<BudgetLedger.Grant> grant) {}

    final String mProgram;
    final RowKey mKey;
    final ProgramBudget mBudget = new ProgramBudget();
    final Deque<WaitingTurn> mWaitingTurns = new ArrayDeque<>();
    boolean mStoreCallPending;
    boolean mRowKnown;
    long mRowReadMillis;
    long mLastUsedMillis;
    long mLimitTokens;
    boolean mIdleCheckScheduled;

    /** The return that is under way or waits for a store call; null if there is none. */
    CompletableFuture<Void> mReturn;

    BudgetAccount(String program) {
        mProgram = program;
        int part = (int) (Rendezvous.unitHash(program) * BudgetLedger.TABLE_PARTS);
        mKey = RowKey.ofText(BudgetLedger.TABLE, Integer.toString(part), program);
    }

    /** Returns whether a store call or a turn that waits for one needs the account. */
    boolean isWaiting() {
        return mStoreCallPending || !mWaitingTurns.isEmpty();
    }

    /** Returns whether nothing is lost with the account; the row can be read again. */
    boolean isEmpty() {
        return !isWaiting() && mBudget.openTurns() == 0 && mBudget.availableTokens() == 0;
    }
}
