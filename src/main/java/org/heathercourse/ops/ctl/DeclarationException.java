package org.heathercourse.ops.ctl;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** A declaration file cannot be read. The message names file, line and field. Immutable. */
public final class DeclarationException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param file name of the file
     * @param line line, from 1
     * @param field path of the field, for instance {@code targets[2].zone}
     * @param message what was met and what was expected
     */
    public DeclarationException(String file, int line, String field, String message) {
        super(
                ErrorKind.BAD_REQUEST,
                file + ":" + line + ": " + (field.isEmpty() ? "" : field + ": ") + message,
                "correct the file and run plan again");
    }
}
