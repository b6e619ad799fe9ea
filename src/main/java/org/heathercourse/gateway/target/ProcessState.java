package org.heathercourse.gateway.target;

import java.util.Locale;
import org.heathercourse.core.target.TargetState;

/** What a new connection to a target tells about the target's process. */
public enum ProcessState {
    /** A process accepts connections at the target's address. */
    RUNNING,
    /** The address refuses connections, and no other connection to it is open. */
    ENDED,
    /** The address refuses connections while others to it are open. */
    REFUSING,
    /** The address does not reply, as behind a partition. */
    NO_REPLY;

    /**
     * Returns whether the process has certainly ended.
     *
     * @param state what the list of targets told when the connection was lost. A target that leaves
     *     may close its port and go on with its requests; one that accepts requests does not
     */
    public boolean hasEnded(TargetState state) {
        return this == ENDED || this == REFUSING && state.acceptsRequests();
    }

    /** Returns the name in logs. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
