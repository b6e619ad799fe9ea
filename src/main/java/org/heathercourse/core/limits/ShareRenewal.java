package org.heathercourse.core.limits;

import org.heathercourse.core.model.VmId;

/**
 * A holder's request for a share, with a report of the share that it holds.
 *
 * @param holder the asking daemon
 * @param holderIncarnation its incarnation
 * @param number number of this request at its holder, rising from 1
 * @param demandPerSecond requests per second seen lately, refused ones included
 * @param adoptedSequence sequence number of the share in use; 0 if there is none
 * @param ratePerSecond fill rate of the share in use
 * @param capacity capacity of the share in use
 * @param tokens tokens left in it
 * @param returnedTokens tokens that the holder gave up when it adopted this sequence number
 * @param remainingMillis validity left in milliseconds
 * @param grantorFence fencing number of the grantor that gave it; 0 if there is none
 * @param seenFence highest fencing number of a grantor that the holder knew when it sent this
 * @param waiting requests that wait at the holder for a token
 */
public record ShareRenewal(
        VmId holder,
        long holderIncarnation,
        long number,
        double demandPerSecond,
        long adoptedSequence,
        double ratePerSecond,
        double capacity,
        double tokens,
        double returnedTokens,
        long remainingMillis,
        long grantorFence,
        long seenFence,
        int waiting) {
    /** Returns whether all amounts are finite and none is negative. */
    boolean wellFormed() {
        return number > 0
                && waiting >= 0
                && amount(demandPerSecond)
                && amount(ratePerSecond)
                && amount(capacity)
                && amount(tokens)
                && amount(returnedTokens);
    }

    private static boolean amount(double value) {
        return value >= 0 && value < Double.POSITIVE_INFINITY;
    }
}
