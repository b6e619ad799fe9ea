package org.heathercourse.core.budget;

/**
 * The part of one program's budget that a gateway holds.
 *
 * <p>Tokens are taken from the stored row in chunks before any turn may use them. A turn reserves
 * the maximum that it can generate from the chunk and returns the unused tokens when it ends.
 * Several gateways may hold chunks of one program; the row alone is authoritative.
 *
 * <p>What the gateway holds is lost for the program if the gateway fails. Apart from the
 * reservations of turns that are running, it is therefore a small part of what the program has
 * left: a chunk has few spare tokens, and {@link #shouldReturn} tells when unused tokens are too
 * many to keep. Not safe for use by several threads.
 */
public final class ProgramBudget {
    /** Maximum number of turns that a chunk covers beyond those that wait for it. */
    private static final int SPARE_TURNS = 3;

    /** Divisor of the remaining budget that gives the maximum number of spare tokens. */
    private static final int SPARE_DIVISOR = 16;

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
     * Returns the row to write in order to take the next chunk. The chunk covers the turns that
     * wait, if the budget does, and a small part of what remains, so that a large budget needs few
     * writes.
     *
     * @param limitTokens budget of the program, in tokens
     * @param waitingTokens maximum number of tokens that the turns that wait can generate
     * @param turnTokens maximum number of tokens that the first of them can generate
     * @param writer identity of the write
     */
    public BudgetRow afterChunk(
            long limitTokens, long waitingTokens, long turnTokens, String writer) {
        long remainingTokens = Math.max(0, limitTokens - mRow.takenTokens());
        long missingTokens = Math.max(0, waitingTokens - mAvailableTokens);
        long spareTokens = Math.min(remainingTokens / SPARE_DIVISOR, SPARE_TURNS * turnTokens);
        long chunkTokens = Math.min(remainingTokens, missingTokens + spareTokens);
        return new BudgetRow(mRow.takenTokens() + chunkTokens, writer);
    }

    /**
     * Returns whether the unreserved tokens are so many, compared to what the program has left,
     * that they should not be lost if this gateway fails.
     *
     * @param limitTokens budget of the program, in tokens
     */
    public boolean shouldReturn(long limitTokens) {
        long remainingTokens = limitTokens - mRow.takenTokens() + mAvailableTokens;
        return mAvailableTokens * SPARE_DIVISOR > remainingTokens;
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
