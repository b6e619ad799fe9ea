package org.heathercourse.core.error;

import java.util.Locale;

/**
 * Kinds of errors that are reported to callers, operators and other daemons.
 *
 * <p>Each kind has an HTTP status and a default for whether an error of this kind guarantees that
 * no byte of the request reached a target. A specific error can override the default: {@code false}
 * if a target may have been reached, {@code true} only if it is certain that none was.
 */
public enum ErrorKind {
    BAD_REQUEST(400, true),
    UNAUTHENTICATED(401, true),
    KEY_WITHDRAWN(401, true),
    FORBIDDEN(403, true),
    UNKNOWN_SERVICE(404, true),
    UNKNOWN_ROUTE(404, true),
    UNKNOWN_PROGRAM(404, true),
    UNKNOWN_REQUEST(404, true),
    UNKNOWN_TURN(404, true),
    IDENTITY_CONFLICT(409, true),
    HISTORY_MISMATCH(409, true),
    CONFLICT(409, true),
    PROGRAM_ENDED(410, true),
    BUDGET_EXCEEDED(402, true),
    PAYLOAD_TOO_LARGE(413, true),
    HEADERS_TOO_LARGE(431, true),
    REQUEST_TIMEOUT(408, true),
    RATE_LIMITED(429, true),
    OVERLOADED(503, true),
    STALE_CONFIGURATION(503, true),
    STORE_UNAVAILABLE(503, true),
    OWNER_UNAVAILABLE(503, true),
    OWNERSHIP_LOST(503, false),
    DRAINING(503, true),
    QUARANTINED(503, true),
    CANCELLED(499, false),
    TARGET_FAILED(502, false),
    OUTCOME_UNKNOWN(502, false),
    DEADLINE_EXCEEDED(504, false),
    INVALID_SETTING(500, true),
    INTERNAL(500, false);

    private final int mHttpStatus;
    private final boolean mNotRunByDefault;

    ErrorKind(int httpStatus, boolean notRun) {
        mHttpStatus = httpStatus;
        mNotRunByDefault = notRun;
    }

    /** Returns the HTTP status code that reports this kind. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /**
     * Returns whether errors of this kind guarantee by default that no byte of the request reached
     * a target.
     */
    public boolean notRunByDefault() {
        return mNotRunByDefault;
    }

    /** Returns the name used in JSON bodies and logs, in lower case with underscores. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the kind with a wire name.
     *
     * @param wireName a name as returned by {@link #wireName()}
     * @return the kind, or {@link #INTERNAL} for an unknown name, which a newer peer may send
     */
    public static ErrorKind fromWireName(String wireName) {
        for (ErrorKind kind : values()) {
            if (kind.wireName().equals(wireName)) {
                return kind;
            }
        }
        return INTERNAL;
    }
}
