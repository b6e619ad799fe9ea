package org.heathercourse.core.placement;

import org.heathercourse.core.error.ErrorKind;

/**
 * A refusal made before any byte reached a target.
 *
 * @param kind kind of the error, always one that is not run by default
 * @param reason what was met and what was expected
 * @param retryAfterMillis time in milliseconds after which a retry may succeed
 */
public record Refusal(ErrorKind kind, String reason, long retryAfterMillis) {}
