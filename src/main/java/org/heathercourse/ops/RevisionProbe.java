package org.heathercourse.ops;

import java.util.Map;
import java.util.Optional;
import org.heathercourse.core.ownership.DaemonInfo;

/** Asks all daemons which revision they have in force. Implementations are thread-safe. */
@FunctionalInterface
public interface RevisionProbe {
    /**
     * Asks the daemons that are believed alive, this one included.
     *
     * @return the revision in force at each daemon, empty for daemons that did not answer in time
     */
    Map<DaemonInfo, Optional<Long>> probe();
}
