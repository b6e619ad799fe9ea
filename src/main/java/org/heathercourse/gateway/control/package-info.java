/**
 * Control plane of a gateway, on one event loop: configuration, targets, members, rate limits and
 * budgets.
 */
package org.heathercourse.gateway.control;
