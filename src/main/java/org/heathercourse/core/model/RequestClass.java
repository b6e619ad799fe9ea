package org.heathercourse.core.model;

import java.util.Locale;
import java.util.Optional;

/** How urgent a call is, with the deadline that applies if the caller names none. */
public enum RequestClass {
    /** Overtakes all other classes: alerts and notices. */
    URGENT(30_000),
    /** The default: somebody waits for the answer. */
    INTERACTIVE(120_000),
    /** Nobody waits; runs when there is room. */
    BATCH(600_000);

    private final long mDefaultDeadlineMillis;

    RequestClass(long defaultDeadlineMillis) {
        mDefaultDeadlineMillis = defaultDeadlineMillis;
    }

    /** Returns the deadline in milliseconds that applies if the caller names none. */
    public long defaultDeadlineMillis() {
        return mDefaultDeadlineMillis;
    }

    /** Returns the name used in headers and messages. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the class with the given wire name.
     *
     * @param wireName the name, in lower case
     * @return the class, or empty if there is none of that name
     */
    public static Optional<RequestClass> fromWireName(String wireName) {
        for (RequestClass requestClass : values()) {
            if (requestClass.wireName().equals(wireName)) {
                return Optional.of(requestClass);
            }
        }
        return Optional.empty();
    }
}
