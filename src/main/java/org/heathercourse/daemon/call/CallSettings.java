package org.heathercourse.daemon.call;

/**
 * Times and limits of calls. Immutable.
 *
 * @param maxQueuedPerProgram most calls that wait for the running call of their program
 * @param maxRunningCalls most calls that run at once at this daemon
 * @param intentTimeoutMillis longest wait for a durable intent, in milliseconds
 * @param maxDispatchDelayMillis longest time from the commit of an intent to its dispatch
 * @param durabilityWaitMillis time after which an answer is delivered as pending while the store is
 *     down
 * @param maxPendingBytes records that may wait for the store before new calls are refused
 * @param tokenTimeoutMillis longest time without a token of an engine
 * @param programIdleTimeoutMillis time after which an idle program ends
 * @param ownerTimeoutMillis longest wait for an owner
 */
public record CallSettings(
        int maxQueuedPerProgram,
        int maxRunningCalls,
        long intentTimeoutMillis,
        long maxDispatchDelayMillis,
        long durabilityWaitMillis,
        long maxPendingBytes,
        long tokenTimeoutMillis,
        long programIdleTimeoutMillis,
        long ownerTimeoutMillis) {
    /** The values of the design page. */
    public static final CallSettings DEFAULT =
            new CallSettings(64, 2048, 3000, 1000, 250, 64L << 20, 10_000, 30L * 60 * 1000, 12_000);

    /** Returns a copy with another idle time. */
    public CallSettings withProgramIdleTimeoutMillis(long newProgramIdleTimeoutMillis) {
        return new CallSettings(
                maxQueuedPerProgram,
                maxRunningCalls,
                intentTimeoutMillis,
                maxDispatchDelayMillis,
                durabilityWaitMillis,
                maxPendingBytes,
                tokenTimeoutMillis,
                newProgramIdleTimeoutMillis,
                ownerTimeoutMillis);
    }

    /** Returns a copy with another longest wait for a durable intent. */
    public CallSettings withIntentTimeoutMillis(long newIntentTimeoutMillis) {
        return new CallSettings(
                maxQueuedPerProgram,
                maxRunningCalls,
                newIntentTimeoutMillis,
                maxDispatchDelayMillis,
                durabilityWaitMillis,
                maxPendingBytes,
                tokenTimeoutMillis,
                programIdleTimeoutMillis,
                ownerTimeoutMillis);
    }

    /** Returns a copy with another longest wait for an owner. */
    public CallSettings withOwnerTimeoutMillis(long newOwnerTimeoutMillis) {
        return new CallSettings(
                maxQueuedPerProgram,
                maxRunningCalls,
                intentTimeoutMillis,
                maxDispatchDelayMillis,
                durabilityWaitMillis,
                maxPendingBytes,
                tokenTimeoutMillis,
                programIdleTimeoutMillis,
                newOwnerTimeoutMillis);
    }
}
