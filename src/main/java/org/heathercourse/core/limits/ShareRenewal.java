package org.heathercourse.core.limits;

import org.heathercourse.core.model.VmId;

/**
 * A holder's request to renew its share of a workspace's rate, with a report of the share in use.
 * Immutable.
 *
 * @param holder daemon that holds the share and sends this request
 * @param holderIncarnation incarnation of the holder
 * @param number number of this request at its holder, increasing from 1
 * @param demandPerSecond recent requests per second, including rejected ones
 * @param adoptedSequence sequence number of the share in use; 0 if there is none
 * @param ratePerSecond fill rate of the share in use, in tokens per second
 * @param capacity capacity of the share in use, in tokens
 * @param tokens tokens left in the share in use
 * @param returnedTokens tokens that the holder released when it adopted this sequence number
 * @param remainingMillis remaining validity of the share in use, in milliseconds
 * @param grantorFence fencing number of the grantor that issued the share; 0 if there is none
 * @param seenFence highest fencing number of a grantor that the holder had received when it sent
 *     this request
 * @param waiting requests at the holder that wait for a token
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
    boolean isWellFormed() {
        return number > 0
                && waiting >= 0
                && isAmount(demandPerSecond)
                && isAmount(ratePerSecond)
                && isAmount(capacity)
                && isAmount(tokens)
                && isAmount(returnedTokens);
    }

    private static boolean isAmount(double value) {
        return value >= 0 && value < Double.POSITIVE_INFINITY;
    }
}
