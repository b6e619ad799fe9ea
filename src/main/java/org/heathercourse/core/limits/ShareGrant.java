package org.heathercourse.core.limits;

/**
 * A grantor's reply to a {@link ShareRenewal}.
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
        long grantorFence) {
    /**
     * Returns the reply of a new grantor that needs a report made with knowledge of its fence.
     *
     * @param fence fencing number of the grantor
     */
    static ShareGrant reportRequest(long fence) {
        return new ShareGrant(0, 0, 0, 0, 0, fence);
    }

    /** Returns whether this is no share but asks the holder to report at once. */
    boolean isReportRequest() {
        return validMillis == 0;
    }
}
