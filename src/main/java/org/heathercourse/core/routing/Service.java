package org.heathercourse.core.routing;

/**
 * A group of interchangeable targets. Immutable.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that each target accepts in total
 * @param modelEngine whether the targets are model engines, which generate tokens
 * @param tokensPerEvent tokens per event of a model engine; 0 for other services
 */
public record Service(String name, int maxConnections, boolean modelEngine, int tokensPerEvent) {}
