package org.heathercourse.platform.rows;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** The store no longer has the changes asked for; the table has to be read in full. */
public final class ChangesExpiredException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param table table whose changes were asked for
     * @param afterVersion version after which they were asked for
     */
    public ChangesExpiredException(String table, long afterVersion) {
        super(
                ErrorKind.STORE_UNAVAILABLE,
                "changes of table " + table + " after version " + afterVersion + " are gone",
                "read the table in full");
    }
}
