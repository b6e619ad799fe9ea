package org.heathercourse.core.placement;

import org.heathercourse.core.model.TargetId;

/**
 * Estimated state of a target at the time of a decision. Immutable.
 *
 * @param target identity of the target
 * @param slots number of calls that run concurrently before further calls are queued
 * @param inFlight estimated running and queued calls, including own dispatches since the last load
 *     report
 * @param backlogTokens estimated prompt tokens that are computed before those of a new call
 * @param promptTokenMillis time to compute a prompt token in milliseconds
 * @param outputTokenMillis time to generate a token at the current load in milliseconds
 * @param meanCallMillis mean run time of a call in a slot in milliseconds
 * @param cacheFillRatio ratio of the prefix cache in use, from 0 to 1
 * @param link cost of the link between the daemon and the target
 */
public record TargetSnapshot(
        TargetId target,
        double slots,
        double inFlight,
        double backlogTokens,
        double promptTokenMillis,
        double outputTokenMillis,
        double meanCallMillis,
        double cacheFillRatio,
        LinkCost link) {}
