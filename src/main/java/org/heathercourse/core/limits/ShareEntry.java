package org.heathercourse.core.limits;

/** State of one holder in a {@link ShareLedger}. Not safe for use by several threads. */
@SuppressWarnings("checkstyle:MemberName")
final class ShareEntry {
    /** Number of the last request. */
    long lastNumber;

    /** Ticker time at which the last request was received. */
    long receivedNanos;

    /** Demand, in requests per second, that the holder reported last. */
    double demandPerSecond;

    /** Tokens that the holder reported last, at most its capacity. */
    double tokens;

    /** Requests that waited at the holder for a token when it sent its last request. */
    int waiting;

    /** Fill rate, in tokens per second, of the share that the holder is known to use. */
    double rate;

    /** Capacity, in tokens, of the share that the holder is known to use. */
    double capacity;

    /**
     * Reply to the last request; null once the holder has reported whether it adopted the reply.
     */
    ShareGrant lastGrant;

    /** Tokens that the last reply transfers to the holder. */
    double pendingTokens;

    /**
     * Capacity counted for the holder when the last reply was sent. Limits the tokens that the
     * holder can return.
     */
    double pendingCapacity;

    /** Records a request of the holder. */
    void recordRenewal(ShareRenewal renewal, long nowNanos) {
        lastNumber = renewal.number();
        receivedNanos = nowNanos;
        demandPerSecond = renewal.demandPerSecond();
        waiting = renewal.waiting();
        tokens = Math.min(renewal.tokens(), capacity);
    }

    /** Returns the highest fill rate that the holder may be using. */
    double countedRate() {
        return lastGrant == null ? rate : Math.max(rate, lastGrant.ratePerSecond());
    }

    /** Returns the highest capacity that the holder may be using. */
    double countedCapacity() {
        return lastGrant == null
                ? capacity
                : Math.max(capacity + pendingTokens, lastGrant.capacity());
    }
}
