package org.heathercourse.platform;

import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;

/** Thrown when a call to one of the platform's stores fails. Immutable. */
public final class StoreException extends HeathercourseException {
    private static final long serialVersionUID = 1L;

    private final boolean mOutcomeUnknown;

    private StoreException(Builder builder, boolean outcomeUnknown) {
        super(builder);
        mOutcomeUnknown = outcomeUnknown;
    }

    /**
     * Creates an exception for a request that certainly had no effect, for instance because the
     * connection was refused.
     *
     * @param message what happened
     * @param cause the cause, or null
     * @return the exception
     */
    public static StoreException unavailable(String message, Throwable cause) {
        return create(message, cause, false);
    }

    /**
     * Creates an exception for a request that was sent and whose reply was lost or late; a write
     * may have taken effect.
     *
     * @param message what happened
     * @param cause the cause, or null
     * @return the exception
     */
    public static StoreException outcomeUnknown(String message, Throwable cause) {
        return create(message, cause, true);
    }

    private static StoreException create(String message, Throwable cause, boolean unknown) {
        Builder builder =
                builder(ErrorKind.STORE_UNAVAILABLE)
                        .message(message)
                        .remedy("check the platform's store; requests are retried until it answers")
                        .notRun(false)
                        .cause(cause);
        return new StoreException(builder, unknown);
    }

    /** Returns whether the request may have taken effect. */
    public boolean outcomeUnknown() {
        return mOutcomeUnknown;
    }
}
