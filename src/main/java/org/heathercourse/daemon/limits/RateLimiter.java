package org.heathercourse.daemon.limits;

import io.vavr.control.Either;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Admits requests within the rate and burst that their workspace has across all daemons.
 *
 * <p>Safe for use by several threads; only {@link #acquire} blocks, for at most the given time.
 */
public interface RateLimiter {
    /**
     * Admits one request from this daemon's share, without waiting.
     *
     * @param workspace the workspace
     * @return the workspace if admitted, otherwise an error of kind {@code RATE_LIMITED} with the
     *     time after which a retry may succeed
     */
    Either<HeathercourseException, WorkspaceId> tryAcquire(WorkspaceId workspace);

    /**
     * Like {@link #tryAcquire}, but waits if this daemon holds no share yet, if its share refills
     * in time, or if the grantor may have tokens left. The number of waiting requests is limited;
     * further ones are rejected without delay.
     *
     * @param workspace the workspace
     * @param maxWaitMillis maximum time to wait, in milliseconds
     * @return as for {@link #tryAcquire}
     */
    Either<HeathercourseException, WorkspaceId> acquire(WorkspaceId workspace, long maxWaitMillis);
}
