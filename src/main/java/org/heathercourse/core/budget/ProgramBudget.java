package org.heathercourse.core.budget;

/**
 * The part of one program's budget that a gateway holds.
 *
 * <p>Tokens are taken from the stored row in chunks before any turn may use them. A turn reserves
 * the maximum that it can generate from the chunk and returns the unused tokens when it ends.
 * Several gateways may hold chunks of one program; the row alone is authoritative. Not safe for use
 * by several threads.
 */
public final class ProgramBudget {
    /**
     * Maximum number of turns that a chunk covers. The program loses the tokens of a chunk if the
     * gateway that holds it fails, so a chunk must be a small part of the budget.
     */
    private static final int CHUNK_TURNS = 4;

    private long mAvailableTokens;
    private BudgetRow mRow = BudgetRow.ABSENT;
    private long mRowVersion;
    private int mOpenTurns;
    private boolean mTurnRan;
    private boolean mRowExisted;

    /** Result of a reservation. */
    public enum Decision {
        /** The turn may run. */
        GRANTED,
        /** A chunk must be taken from the row first. */
        CHUNK_NEEDED,
        /** The remaining budget does not cover the turn. */
        EXHAUSTED
    }

    /**
     * Reserves tokens for a turn.
     *
     * @param limitTokens budget of the program, in tokens
     * @param needTokens maximum number of tokens that the turn can generate
     */
    public Decision reserve(long limitTokens, long needTokens) {
        if (mAvailableTokens >= needTokens) {
            mAvailableTokens -= needTokens;
            mOpenTurns++;
            return Decision.GRANTED;
        }
        boolean fits = mRow.takenTokens() - mAvailableTokens + needTokens <= limitTokens;
        return fits ? Decision.CHUNK_NEEDED : Decision.EXHAUSTED;
    }

    /**
     * Returns the row to write in order to take the next chunk. The chunk covers a few turns, so
     * that few writes are needed, but at most half of the remaining budget, so that other gateways
     * can take chunks too. It always covers the tokens that the turn is missing, if the budget
     * does.
     *
     * @param limitTokens budget of the program, in tokens
     * @param needTokens maximum number of tokens that the turn can generate
     * @param writer identity of the write
     */
    public BudgetRow afterChunk(long limitTokens, long needTokens, String writer) {
        long remainingTokens = Math.max(0, limitTokens - mRow.takenTokens());
        long missingTokens = needTokens - mAvailableTokens;
        long preferredTokens = Math.min(remainingTokens / 2, CHUNK_TURNS * needTokens);
        long chunkTokens = Math.min(remainingTokens, Math.max(missingTokens, preferredTokens));
        return new BudgetRow(mRow.takenTokens() + chunkTokens, writer);
    }

    /**
     * Removes all unreserved tokens from this gateway before they are returned to the row.
     *
     * @return the tokens; they must not be used unless it is certain that the return did not take
     *     effect
     */
    public long beginReturn() {
        long tokens = mAvailableTokens;
        mAvailableTokens = 0;
        return tokens;
    }

    /**
     * Returns the row to write in order to return tokens.
     *
     * @param tokens tokens to return
     * @param writer identity of the write
     */
    public BudgetRow afterReturn(long tokens, String writer) {
        return new BudgetRow(Math.max(0, mRow.takenTokens() - tokens), writer);
    }

    /** Restores tokens whose return certainly did not take effect. */
    public void restoreUnreturned(long tokens) {
        mAvailableTokens += tokens;
    }

    /**
     * Records that a write of this gateway took effect.
     *
     * @param row row that was written
     * @param version version of the row
     */
    public void recordWrite(BudgetRow row, long version) {
        mAvailableTokens += Math.max(0, row.takenTokens() - mRow.takenTokens());
        mRow = row;
        mRowVersion = version;
    }

    /**
     * Records the row that was read from the store.
     *
     * @param row row that was read
     * @param version version of the row; 0 if there is no row
     */
    public void recordRead(BudgetRow row, long version) {
        mRowExisted |= version != 0;
        mRow = row;
        mRowVersion = version;
    }

    /**
     * Ends a turn.
     *
     * @param unusedTokens reserved tokens that were not generated
     * @param ran whether a target generated tokens for the turn
     */
    public void settle(long unusedTokens, boolean ran) {
        mAvailableTokens += Math.max(0, unusedTokens);
        mOpenTurns--;
        mTurnRan |= ran;
    }

    /**
     * Returns whether the program has begun: a turn has generated tokens at this gateway, or a
     * stored row of the program was read.
     */
    public boolean begun() {
        return mTurnRan || mRowExisted;
    }

    /** Returns the version that the next write of the row must expect. */
    public long rowVersion() {
        return mRowVersion;
    }

    /** Returns the row as last read or written. */
    public BudgetRow row() {
        return mRow;
    }

    /** Returns the tokens that are taken from the row and not reserved. */
    public long availableTokens() {
        return mAvailableTokens;
    }

    /** Returns the number of turns that have a reservation and have not ended. */
    public int openTurns() {
        return mOpenTurns;
    }
}
