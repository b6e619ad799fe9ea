package org.heathercourse.platform.rows;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/**
 * Thrown when the store no longer holds the requested changes, so that the table must be read in
 * full. Immutable.
 */
public final class ChangesExpiredException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param table table whose changes were requested
     * @param afterVersion version after which changes were requested
     */
    public ChangesExpiredException(String table, long afterVersion) {
        super(
                ErrorKind.STORE_UNAVAILABLE,
                "changes of table "
                        + table
                        + " after version "
                        + afterVersion
                        + " are no longer held by the store",
                "read the table in full");
    }
}
