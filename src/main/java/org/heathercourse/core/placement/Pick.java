package org.heathercourse.core.placement;

import java.util.Optional;
import org.heathercourse.core.model.TargetId;

/**
 * Where and how urgently to run a call.
 *
 * @param target target that runs the call
 * @param priority urgency as engines expect it; smaller is served earlier
 * @param expectedMillis expected time until the answer is complete, in milliseconds
 * @param cachedTokens prompt tokens that the target is believed to hold
 * @param migrateFrom engine from which to copy the session's cache first; empty if that does not
 *     pay
 */
public record Pick(
        TargetId target,
        int priority,
        long expectedMillis,
        long cachedTokens,
        Optional<TargetId> migrateFrom) {}
