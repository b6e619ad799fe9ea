package org.heathercourse.platform.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import org.heathercourse.platform.TargetFailure;

/** Maps errors of exchanges with targets to {@link TargetFailure}. */
final class TargetFailures {
    private TargetFailures() {}

    /** Maps an exception of an exchange; what it proves depends on whether a byte was sent. */
    static TargetFailure fromException(IOException error, HttpTransport.SentTracker tracker) {
        TargetFailure.Kind kind = TargetFailure.Kind.BROKEN;
        if (!tracker.sent()) {
            kind = TargetFailure.Kind.NOT_SENT;
        } else if (error instanceof InterruptedIOException) {
            kind = TargetFailure.Kind.TIMEOUT;
        }
        return new TargetFailure(kind, 0, error.toString());
    }

    /**
     * Maps an error status of an engine. A client error, except for a request timeout (408), proves
     * that the request was not run. A server error proves it only if the response says so.
     */
    static TargetFailure fromStatus(int status, boolean reportsNotRun, String message) {
        boolean refused = (status >= 400 && status < 500 && status != 408) || reportsNotRun;
        return new TargetFailure(
                refused ? TargetFailure.Kind.REFUSED : TargetFailure.Kind.BROKEN, status, message);
    }
}
