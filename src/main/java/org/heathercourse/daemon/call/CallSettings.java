package org.heathercourse.daemon.call;

/**
 * Times and limits of calls. Immutable.
 *
 * @param queuedPerProgram most calls that wait for the running call of their program
 * @param maxRunning most calls that run at once at this daemon
 * @param intentWaitMillis longest wait for a durable intent, in milliseconds
 * @param dispatchWindowMillis longest time from the commit of an intent to its dispatch
 * @param pendingAfterMillis time after which an answer is delivered as pending while the store is
 *     down
 * @param maxPendingBytes records that may wait for the store before new calls are refused
 * @param silenceMillis longest time without a token of an engine
 * @param idleMillis time after which an idle program ends
 * @param ownerWaitMillis longest wait for an owner
 */
public record CallSettings(
        int queuedPerProgram,
        int maxRunning,
        long intentWaitMillis,
        long dispatchWindowMillis,
        long pendingAfterMillis,
        long maxPendingBytes,
        long silenceMillis,
        long idleMillis,
        long ownerWaitMillis) {
    /** The values of the design page. */
    public static final CallSettings DEFAULT =
            new CallSettings(64, 2048, 3000, 1000, 250, 64L << 20, 10_000, 30L * 60 * 1000, 12_000);

    /** Returns a copy with another idle time. */
    public CallSettings withIdleMillis(long newIdleMillis) {
        return new CallSettings(
                queuedPerProgram,
                maxRunning,
                intentWaitMillis,
                dispatchWindowMillis,
                pendingAfterMillis,
                maxPendingBytes,
                silenceMillis,
                newIdleMillis,
                ownerWaitMillis);
    }

    /** Returns a copy with another longest wait for a durable intent. */
    public CallSettings withIntentWaitMillis(long newIntentWaitMillis) {
        return new CallSettings(
                queuedPerProgram,
                maxRunning,
                newIntentWaitMillis,
                dispatchWindowMillis,
                pendingAfterMillis,
                maxPendingBytes,
                silenceMillis,
                idleMillis,
                ownerWaitMillis);
    }

    /** Returns a copy with another longest wait for an owner. */
    public CallSettings withOwnerWaitMillis(long newOwnerWaitMillis) {
        return new CallSettings(
                queuedPerProgram,
                maxRunning,
                intentWaitMillis,
                dispatchWindowMillis,
                pendingAfterMillis,
                maxPendingBytes,
                silenceMillis,
                idleMillis,
                newOwnerWaitMillis);
    }
}
