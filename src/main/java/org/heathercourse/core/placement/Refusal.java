package org.heathercourse.core.placement;

import org.heathercourse.core.error.ErrorKind;

/**
 * Refusal of a call before any byte was sent to a target. Immutable.
 *
 * @param kind kind of the error; its default implies that the call has not run
 * @param reason condition that was met and the one that was expected
 * @param retryAfterMillis delay in milliseconds after which a retry may succeed
 */
public record Refusal(ErrorKind kind, String reason, long retryAfterMillis) {}
