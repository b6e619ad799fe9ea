package org.heathercourse.daemon.config;

import io.vavr.control.Either;
import java.util.Optional;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Checks the keys of callers against the configuration in force.
 *
 * <p>Safe for use by several threads; does not block.
 */
public interface Authenticator {
    /**
     * The workspace and key that a request came with.
     *
     * @param workspace the workspace
     * @param keyId public part of the key
     */
    record Principal(WorkspaceId workspace, String keyId) {}

    /**
     * Checks an {@code Authorization} header.
     *
     * @param authorization value of the header; null if there is none
     * @return the principal, or an error of kind {@code UNAUTHENTICATED}, {@code KEY_WITHDRAWN} or
     *     {@code STALE_CONFIGURATION}
     */
    Either<HeathercourseException, Principal> authenticate(String authorization);

    /**
     * Checks a principal again that was accepted before. Open streams ask this.
     *
     * @param principal the principal
     * @return empty if its key is still in force; otherwise an error of kind {@code KEY_WITHDRAWN},
     *     or {@code STALE_CONFIGURATION} if this daemon cannot tell, in which case another daemon
     *     can
     */
    Optional<HeathercourseException> recheck(Principal principal);
}
