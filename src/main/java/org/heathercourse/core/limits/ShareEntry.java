package org.heathercourse.core.limits;

/** What a ledger knows of one holder. Not safe for use by several threads. */
@SuppressWarnings("checkstyle:MemberName")
final class ShareEntry {
    /** Number of the last request. */
    long lastNumber;

    /** Reading at which the last request came in. */
    long receivedNanos;

    /** Demand and tokens as last reported. */
    double demand;

    double tokens;

    int waiting;

    /** Share that the holder reported last. */
    double rate;

    double capacity;

    /** Reply to the last request, of which it is not known whether it was adopted. */
    ShareGrant lastGrant;

    /** Tokens that the last reply moves to the holder. */
    double pendingTokens;

    /** Capacity counted while the last reply was under way. */
    double countedBefore;

    void note(ShareRenewal ask, long nowNanos) {
        lastNumber = ask.number();
        receivedNanos = nowNanos;
        demand = ask.demandPerSecond();
        waiting = ask.waiting();
        tokens = Math.min(ask.tokens(), capacity);
    }

    double countedRate() {
        return lastGrant == null ? rate : Math.max(rate, lastGrant.ratePerSecond());
    }

    double countedCapacity() {
        return lastGrant == null
                ? capacity
                : Math.max(capacity + pendingTokens, lastGrant.capacity());
    }
}
