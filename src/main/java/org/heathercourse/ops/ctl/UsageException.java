package org.heathercourse.ops.ctl;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** Thrown when a flag or an argument of the command line is wrong. Immutable. */
final class UsageException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(ErrorKind.BAD_REQUEST, message, "see heathercourse ctl --help");
    }
}
