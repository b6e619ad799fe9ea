package org.heathercourse.daemon.limits;

import io.vavr.control.Either;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Admits requests within the fleet-wide rate and burst of their workspace.
 *
 * <p>Safe for use by several threads; only {@link #acquire} may block, for the time given to it.
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
     * Like {@link #tryAcquire} but may wait when this daemon holds no share yet, when the share's
     * own fill suffices in time, or when the grantor may have tokens left. Few requests wait at
     * once; the others are refused without delay.
     *
     * @param workspace the workspace
     * @param maxWaitMillis longest time to wait in milliseconds
     * @return as for {@link #tryAcquire}
     */
    Either<HeathercourseException, WorkspaceId> acquire(WorkspaceId workspace, long maxWaitMillis);
}
