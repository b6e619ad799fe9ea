package org.heathercourse.daemon.peer;

import java.util.concurrent.CompletionException;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.daemon.peer.PeerMessage.ErrorReply;
import org.heathercourse.log.EventLog;

/** Conversion between exceptions and error messages. Stateless. */
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
                "report the internal_error line in the log of the daemon that answered",
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

    /** Returns the message for a request or call without a handler. */
    static ErrorReply noHandler() {
        return new ErrorReply(
                ErrorKind.OWNER_UNAVAILABLE.wireName(),
                "the daemon has no handler for the message",
                "repeat the request with the same identity",
                true,
                0);
    }
}
