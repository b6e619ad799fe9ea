package org.heathercourse.daemon.peer;

import java.util.concurrent.CompletionException;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.daemon.peer.PeerMessage.ErrorReply;
import org.heathercourse.log.EventLog;

/** Converts errors to messages and back. */
public final class PeerErrors {
    private static final EventLog LOG = EventLog.of(PeerErrors.class);

    private PeerErrors() {}

    /**
     * Returns the message that reports an error.
     *
     * @param error the error; anything but a {@link HeathercourseException} is reported as internal
     * @return the message
     */
    public static ErrorReply toMessage(Throwable error) {
        Throwable cause = error;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof HeathercourseException e) {
            return new ErrorReply(
                    e.kind().wireName(),
                    e.getMessage(),
                    e.remedy(),
                    e.notRun(),
                    e.retryAfterMillis());
        }
        LOG.error("internal_error", cause);
        return new ErrorReply(
                ErrorKind.INTERNAL.wireName(),
                "internal error: " + cause.getClass().getSimpleName(),
                "report the log line of this daemon",
                false,
                0);
    }

    /**
     * Returns the error that a message reports.
     *
     * @param message the message
     * @return the error
     */
    public static HeathercourseException toException(ErrorReply message) {
        return HeathercourseException.builder(ErrorKind.fromWireName(message.kind()))
                .message(message.message())
                .remedy(message.remedy())
                .notRun(message.notRun())
                .retryAfterMillis(message.retryAfterMillis())
                .build();
    }

    static ErrorReply notReady() {
        return new ErrorReply(
                ErrorKind.OWNER_UNAVAILABLE.wireName(),
                "this daemon does not serve the message",
                "repeat the request with the same identity",
                true,
                0);
    }
}
