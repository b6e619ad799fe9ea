package org.heathercourse.platform;

import org.heathercourse.core.model.TargetId;

/**
 * Address of a target.
 *
 * @param target identity of the target
 * @param baseUrl base URL without a slash at the end, for instance {@code http://127.0.0.1:9001}
 */
public record TargetAddress(TargetId target, String baseUrl) {}
