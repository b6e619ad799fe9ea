package org.heathercourse.core.limits;

/**
 * A grantor's reply to a {@link ShareRenewal}. Immutable.
 *
 * @param sequence sequence number of the share, increasing; 0 for a report request
 * @param ratePerSecond fill rate of the share, in tokens per second
 * @param capacity capacity of the share, in tokens
 * @param addedTokens tokens transferred to the holder; if negative, the maximum number of tokens
 *     that the holder returns with its next request
 * @param validMillis validity in milliseconds, counted from the time at which the request was sent;
 *     0 for a report request
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
     * Returns the reply of a new grantor that requires a report sent after its holder received the
     * grantor's fencing number.
     *
     * @param fence fencing number of the grantor
     */
    static ShareGrant reportRequest(long fence) {
        return new ShareGrant(0, 0, 0, 0, 0, fence);
    }

    /** Returns whether this reply carries no share and requests a report at once. */
    boolean isReportRequest() {
        return validMillis == 0;
    }
}
