package org.heathercourse.ops.ctl;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/**
 * Thrown when a declaration file cannot be read or is invalid. The message names file, line and
 * field. Immutable.
 */
public final class DeclarationException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param file name of the file
     * @param line number of the line, from 1; 0 if unknown
     * @param field path of the field, for instance {@code targets[2].zone}; empty for the whole
     *     file
     * @param message what was found and what was expected
     */
    public DeclarationException(String file, int line, String field, String message) {
        super(
                ErrorKind.BAD_REQUEST,
                file + ":" + line + ": " + (field.isEmpty() ? "" : field + ": ") + message,
                "correct the file and run plan again");
    }
}
