package org.heathercourse.core.config;

import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * A declared service-level objective. Immutable.
 *
 * @param service service that it applies to
 * @param workspace workspace that it applies to; null for all
 * @param latencyMillis maximum latency of a good call in milliseconds
 * @param goodRatio required ratio of good calls, for instance 0.99
 * @param windowDays length of the error budget window in days
 */
public record ObjectiveSpec(
        ServiceId service,
        WorkspaceId workspace,
        long latencyMillis,
        double goodRatio,
        int windowDays) {}
