package org.heathercourse.ops;

import java.util.Map;
import java.util.Optional;
import org.heathercourse.core.ownership.DaemonInfo;

/**
 * Queries all daemons for the revision that they have in force. Implementations are thread-safe.
 */
@FunctionalInterface
public interface RevisionProbe {
    /**
     * Queries the daemons that are considered live, this one included. Blocks until they have
     * answered or the query has timed out.
     *
     * @return the revision in force at each daemon; empty for daemons that did not answer in time
     */
    Map<DaemonInfo, Optional<Long>> probe();
}
