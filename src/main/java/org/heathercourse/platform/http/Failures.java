package org.heathercourse.platform.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import org.heathercourse.platform.TargetFailure;

/** Maps errors of exchanges with targets. */
final class Failures {
    private Failures() {}

    static TargetFailure of(IOException error, HttpTransport.SentTracker tracker) {
        TargetFailure.Kind kind = TargetFailure.Kind.BROKEN;
        if (!tracker.sent()) {
            kind = TargetFailure.Kind.NOT_SENT;
        } else if (error instanceof InterruptedIOException) {
            kind = TargetFailure.Kind.TIMEOUT;
        }
        return new TargetFailure(kind, 0, error.toString());
    }

    /**
     * Maps an error status of an engine. A client error is answered before anything runs; of the
     * server errors only one that says so proves it.
     */
    static TargetFailure ofStatus(int status, boolean saysNotRun, String message) {
        boolean refused = (status >= 400 && status < 500 && status != 408) || saysNotRun;
        return new TargetFailure(
                refused ? TargetFailure.Kind.REFUSED : TargetFailure.Kind.BROKEN, status, message);
    }
}
