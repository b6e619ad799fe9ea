package org.heathercourse.core.history;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** Thrown when the history of a turn is larger than a gateway can rebuild. Immutable. */
public final class HistoryTooLargeException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param sizeBytes size of the history in bytes
     * @param maxBytes maximum size in bytes
     */
    public HistoryTooLargeException(long sizeBytes, long maxBytes) {
        super(
                ErrorKind.PAYLOAD_TOO_LARGE,
                "history of " + sizeBytes + " bytes, expected at most " + maxBytes,
                "start a new chain of turns with a shorter history");
    }
}
