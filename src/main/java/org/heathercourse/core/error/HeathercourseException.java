package org.heathercourse.core.error;

import java.util.Objects;

/**
 * Base class of the exceptions of this project.
 *
 * <p>The message describes what was found and what was expected; {@link #remedy()} describes how to
 * resolve the error. Instances are immutable and safe for use by several threads.
 */
public class HeathercourseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind mKind;
    private final String mRemedy;
    private final boolean mNotRun;
    private final long mRetryAfterMillis;

    /**
     * Creates an exception with the default {@link #notRun()} value of its kind.
     *
     * @param kind the kind of the error
     * @param message what was found and what was expected
     * @param remedy how to resolve the error
     */
    public HeathercourseException(ErrorKind kind, String message, String remedy) {
        this(builder(kind).message(message).remedy(remedy));
    }

    /**
     * Creates an exception from a builder.
     *
     * @param builder the values of the exception
     */
    protected HeathercourseException(Builder builder) {
        super(builder.mMessage, builder.mCause);
        mKind = builder.mKind;
        mRemedy = builder.mRemedy;
        mNotRun = builder.mNotRun;
        mRetryAfterMillis = builder.mRetryAfterMillis;
    }

    /**
     * Returns a builder for an error of the given kind.
     *
     * @param kind the kind of the error
     * @return a builder with the defaults of the kind
     */
    public static Builder builder(ErrorKind kind) {
        return new Builder(kind);
    }

    /** Returns the kind of this error. */
    public ErrorKind kind() {
        return mKind;
    }

    /** Returns how to resolve this error. */
    public String remedy() {
        return mRemedy;
    }

    /** Returns whether it is certain that no byte of the request reached a target. */
    public boolean notRun() {
        return mNotRun;
    }

    /** Returns the time in milliseconds after which a retry may succeed, or 0 if it is unknown. */
    public long retryAfterMillis() {
        return mRetryAfterMillis;
    }

    /** Builds a {@link HeathercourseException}. Not safe for use by several threads. */
    public static final class Builder {
        private final ErrorKind mKind;
        private String mMessage = "";
        private String mRemedy = "";
        private boolean mNotRun;
        private long mRetryAfterMillis;
        private Throwable mCause;

        private Builder(ErrorKind kind) {
            mKind = Objects.requireNonNull(kind, "kind");
            mNotRun = kind.notRunByDefault();
        }

        /** Sets the message: what was found and what was expected. */
        public Builder message(String message) {
            mMessage = message;
            return this;
        }

        /** Sets how to resolve the error. */
        public Builder remedy(String remedy) {
            mRemedy = remedy;
            return this;
        }

        /** Sets whether it is certain that no byte of the request reached a target. */
        public Builder notRun(boolean notRun) {
            mNotRun = notRun;
            return this;
        }

        /** Sets the time in milliseconds after which a retry may succeed. */
        public Builder retryAfterMillis(long retryAfterMillis) {
            mRetryAfterMillis = retryAfterMillis;
            return this;
        }

        /** Sets the cause. */
        public Builder cause(Throwable cause) {
            mCause = cause;
            return this;
        }

        /** Creates the exception. */
        public HeathercourseException build() {
            return new HeathercourseException(this);
        }
    }
}
