package org.heathercourse.daemon.config;

import io.vavr.control.Either;
import java.util.Optional;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Authenticates callers by their keys, as declared in the configuration in force.
 *
 * <p>Safe for use by several threads; does not block.
 */
public interface Authenticator {
    /**
     * The authenticated workspace and the key that a request carried.
     *
     * @param workspace workspace that the key belongs to
     * @param keyId public part of the key
     */
    record Principal(WorkspaceId workspace, String keyId) {}

    /**
     * Authenticates the value of an {@code Authorization} header.
     *
     * @param authorization value of the header; null if there is none
     * @return the principal, or an error of kind {@code UNAUTHENTICATED}, {@code KEY_WITHDRAWN} or
     *     {@code STALE_CONFIGURATION}
     */
    Either<HeathercourseException, Principal> authenticate(String authorization);

    /**
     * Checks again whether the key of an authenticated principal is valid. Used for open streams.
     *
     * @param principal principal returned by {@link #authenticate}
     * @return empty if the key is still valid; otherwise an error of kind {@code KEY_WITHDRAWN}, or
     *     {@code STALE_CONFIGURATION} if the configuration of this daemon is too old to decide, in
     *     which case another daemon may be able to
     */
    Optional<HeathercourseException> recheck(Principal principal);
}
