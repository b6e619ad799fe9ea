package org.heathercourse.core.placement;

import org.heathercourse.core.model.TargetId;

/**
 * What is known about a target at the moment of a decision. Immutable.
 *
 * @param target identity of the target
 * @param slots calls that it runs at once before others wait
 * @param inFlight estimated calls that run or wait, own dispatches since the report included
 * @param backlogTokens estimated prompt tokens that have to be computed before a new call's
 * @param promptTokenMillis time to compute a prompt token in milliseconds
 * @param outputTokenMillis time to generate a token at the present load in milliseconds
 * @param meanCallMillis mean time of a call in a slot in milliseconds
 * @param cacheFill share of the prefix cache in use, from 0 to 1
 * @param link cost of the link from the daemon
 */
public record TargetSnapshot(
        TargetId target,
        double slots,
        double inFlight,
        double backlogTokens,
        double promptTokenMillis,
        double outputTokenMillis,
        double meanCallMillis,
        double cacheFill,
        LinkCost link) {}
