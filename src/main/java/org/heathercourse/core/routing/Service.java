package org.heathercourse.core.routing;

/**
 * A group of interchangeable targets. Immutable.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that each target accepts in total
 * @param modelEngine whether the targets are model engines, which generate tokens
 * @param tokensPerEvent tokens per event of a model engine; 0 for other services
 * @param coldPerSecond requests per second that a cold target may receive from all gateways
 *     together; 0 means no limit
 * @param coldStartMillis time for which a target is cold after its start, in milliseconds
 */
public record Service(
        String name,
        int maxConnections,
        boolean modelEngine,
        int tokensPerEvent,
        double coldPerSecond,
        long coldStartMillis) {}
