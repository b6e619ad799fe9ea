package org.heathercourse.daemon.limits;

import io.vavr.control.Either;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Admits requests within the fleet-wide rate and burst of their workspace.
 *
 * <p>Safe for use by several threads; does not block.
 */
public interface RateLimiter {
    /**
     * Takes one request out of this daemon's share.
     *
     * @param workspace the workspace
     * @return the workspace if admitted, otherwise an error of kind {@code RATE_LIMITED} with the
     *     time after which a retry may succeed
     */
    Either<HeathercourseException, WorkspaceId> tryAcquire(WorkspaceId workspace);

    /**
     * Like {@link #tryAcquire} but may wait for a share to arrive when this daemon holds none yet.
     *
     * @param workspace the workspace
     * @param maxWaitMillis longest time to wait in milliseconds
     * @return as for {@link #tryAcquire}
     */
    Either<HeathercourseException, WorkspaceId> acquire(WorkspaceId workspace, long maxWaitMillis);
}
