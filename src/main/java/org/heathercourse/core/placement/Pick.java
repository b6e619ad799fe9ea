package org.heathercourse.core.placement;

import java.util.Optional;
import org.heathercourse.core.model.TargetId;

/**
 * Target and priority picked for a call. Immutable.
 *
 * @param target target that runs the call
 * @param priority priority for the engine; smaller values are served first
 * @param expectedMillis estimated time until the answer is complete, in milliseconds
 * @param cachedTokens prompt tokens estimated to be cached at the target
 * @param migrateFrom engine from which the session's cache is copied first; empty if a copy costs
 *     more than it saves
 */
public record Pick(
        TargetId target,
        int priority,
        long expectedMillis,
        long cachedTokens,
        Optional<TargetId> migrateFrom) {}
