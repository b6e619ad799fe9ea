package org.heathercourse.core.routing;

/**
 * Weight of one service in the traffic split of a route. Immutable.
 *
 * @param service name of the service
 * @param weight share of requests, relative to the other weights of the route; negative counts as 0
 */
public record ServiceWeight(String service, double weight) {}
