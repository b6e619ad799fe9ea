package org.heathercourse.daemon.call;

/**
 * Timeouts and limits of calls. Immutable.
 *
 * @param maxQueuedPerProgram maximum number of calls of a program that wait for its running call
 * @param maxRunningCalls maximum number of calls that run at once at this daemon
 * @param intentTimeoutMillis maximum time until an intent or a reservation is durable, in
 *     milliseconds
 * @param maxDispatchDelayMillis maximum time from the commit of an intent to its dispatch, in
 *     milliseconds
 * @param durabilityWaitMillis time to wait for a durable outcome before an answer may be delivered
 *     as pending, in milliseconds
 * @param maxPendingBytes maximum size of records not yet written to the store, in bytes; beyond it
 *     new calls are refused
 * @param tokenTimeoutMillis maximum time that an engine may take for the next token, in
 *     milliseconds
 * @param programIdleTimeoutMillis time without calls after which a program ends, in milliseconds
 * @param ownerTimeoutMillis maximum wait for a reachable owner, in milliseconds
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
    /** Default values. */
    public static final CallSettings DEFAULT =
            new CallSettings(64, 2048, 3000, 1000, 250, 64L << 20, 10_000, 30L * 60 * 1000, 12_000);

    /** Returns a copy with another idle timeout of programs. */
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

    /** Returns a copy with another timeout for durable intents. */
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

    /** Returns a copy with another timeout for owners. */
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
