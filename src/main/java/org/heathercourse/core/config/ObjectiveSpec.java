package org.heathercourse.core.config;

import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * A declared service-level objective.
 *
 * @param service service that it applies to
 * @param workspace workspace that it applies to; null for all
 * @param latencyMillis latency in milliseconds within which a call counts as good
 * @param goodRatio share of calls that must be good, for instance 0.99
 * @param windowDays length of the budget window in days
 */
public record ObjectiveSpec(
        ServiceId service,
        WorkspaceId workspace,
        long latencyMillis,
        double goodRatio,
        int windowDays) {}
