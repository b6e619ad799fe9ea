package org.heathercourse.core.limits;

/**
 * A grantor's reply to a {@link ShareAsk}.
 *
 * @param sequence sequence number of the share, rising
 * @param ratePerSecond fill rate of the share
 * @param capacity capacity of the share
 * @param addedTokens tokens that move to the holder; if negative, the most tokens that the holder
 *     is to give back with its next request
 * @param validMillis validity in milliseconds, counted from the sending of the request
 * @param grantorFence fencing number of the grantor
 */
public record ShareGrant(
        long sequence,
        double ratePerSecond,
        double capacity,
        double addedTokens,
        long validMillis,
        long grantorFence) {}
