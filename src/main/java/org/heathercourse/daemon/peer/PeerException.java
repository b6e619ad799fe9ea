package org.heathercourse.daemon.peer;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** Thrown if a message to another daemon is not answered with the expected reply. Immutable. */
public final class PeerException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    private final boolean mNotSent;

    /**
     * Creates an exception.
     *
     * @param message description of the failure
     * @param notSent whether it is certain that no byte of the message reached the peer
     * @param cause the cause, or null
     */
    public PeerException(String message, boolean notSent, Throwable cause) {
        super(
                builder(ErrorKind.OWNER_UNAVAILABLE)
                        .message(message)
                        .remedy("repeat the request with the same identity")
                        .notRun(notSent)
                        .cause(cause));
        mNotSent = notSent;
    }

    /** Returns whether it is certain that no byte of the message reached the peer. */
    public boolean notSent() {
        return mNotSent;
    }
}
