package org.heathercourse.gateway.history;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** Thrown when a gateway has no memory for a history. Immutable. */
public final class HistoryNotAdmittedException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param sizeBytes size of the history in bytes
     */
    HistoryNotAdmittedException(long sizeBytes) {
        super(
                ErrorKind.OVERLOADED,
                "no memory is left for a history of " + sizeBytes + " bytes",
                "retry the request at another gateway");
    }
}
