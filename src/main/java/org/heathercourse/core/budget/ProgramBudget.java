package org.heathercourse.core.budget;

/**
 * The budget of one program at the gateway that owns it.
 *
 * <p>Tokens are taken out of the durable row in chunks, before any turn may use them. A turn
 * reserves the most that it can generate out of the chunk and gives back what it did not use.
 * Several gateways may hold chunks of one program; the row alone decides. Not safe for use by
 * several threads.
 */
public final class ProgramBudget {
    /**
     * Most turns that a chunk holds. What a chunk holds is lost to the program if its owner dies,
     * so that a chunk is a small part of the budget.
     */
    private static final int CHUNK_TURNS = 4;

    private long mAvailableTokens;
    private BudgetRow mRow = BudgetRow.ABSENT;
    private long mRowVersion;
    private int mOpenTurns;
    private boolean mBegun;
    private boolean mElsewhere;

    /** What becomes of a reservation. */
    public enum Decision {
        /** The turn may run. */
        GRANTED,
        /** A chunk has to be taken out of the row first. */
        CHUNK_NEEDED,
        /** The budget does not hold the turn. */
        EXHAUSTED
    }

    /**
     * Reserves tokens for a turn.
     *
     * @param limitTokens the program's budget
     * @param needTokens the most that the turn can generate
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
     * Returns the row after the next chunk has been taken. The chunk holds a few turns, so that few
     * writes are needed, at most half of what is left, so that other gateways find something, but
     * never less than the turn lacks.
     *
     * @param limitTokens the program's budget
     * @param needTokens the most that the turn can generate
     * @param writer identity of the write
     */
    public BudgetRow afterChunk(long limitTokens, long needTokens, String writer) {
        long leftTokens = Math.max(0, limitTokens - mRow.takenTokens());
        long lackingTokens = needTokens - mAvailableTokens;
        long wantedTokens = Math.min(leftTokens / 2, CHUNK_TURNS * needTokens);
        long chunkTokens = Math.min(leftTokens, Math.max(lackingTokens, wantedTokens));
        return new BudgetRow(mRow.takenTokens() + chunkTokens, writer);
    }

    /**
     * Takes everything that is not in use out of this gateway's hands, before it is given back.
     *
     * @return the tokens; they must not be used until it is certain that they were not given back
     */
    public long beginReturn() {
        long tokens = mAvailableTokens;
        mAvailableTokens = 0;
        return tokens;
    }

    /**
     * Returns the row after tokens have been given back.
     *
     * @param tokens the tokens
     * @param writer identity of the write
     */
    public BudgetRow afterReturn(long tokens, String writer) {
        return new BudgetRow(Math.max(0, mRow.takenTokens() - tokens), writer);
    }

    /** Takes tokens back into use that were certainly not given back. */
    public void restoreUnreturned(long tokens) {
        mAvailableTokens += tokens;
    }

    /**
     * Notes that an own write took effect.
     *
     * @param row the row that was written
     * @param version its version
     */
    public void recordWrite(BudgetRow row, long version) {
        mAvailableTokens += Math.max(0, row.takenTokens() - mRow.takenTokens());
        mRow = row;
        mRowVersion = version;
    }

    /**
     * Notes the row as another gateway left it.
     *
     * @param row the row
     * @param version its version; 0 if there is no row
     */
    public void recordRead(BudgetRow row, long version) {
        mElsewhere |= version != 0;
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
        mBegun |= ran;
    }

    /** Returns whether a turn of the program has generated tokens, here or elsewhere. */
    public boolean begun() {
        return mBegun || mElsewhere;
    }

    /** Returns the version of the row that the next write must expect. */
    public long rowVersion() {
        return mRowVersion;
    }

    /** Returns the row as last known. */
    public BudgetRow row() {
        return mRow;
    }

    /** Returns the tokens that are taken and not reserved. */
    public long availableTokens() {
        return mAvailableTokens;
    }

    /** Returns the turns that have reserved and not ended. */
    public int openTurns() {
        return mOpenTurns;
    }
}
