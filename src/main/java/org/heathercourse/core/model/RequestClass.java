package org.heathercourse.core.model;

import java.util.Locale;
import java.util.Optional;

/** Urgency class of a call, with the default deadline of the class. */
public enum RequestClass {
    /** Scheduled before all other classes; for alerts and notices. */
    URGENT(30_000),
    /** The default; a user is waiting for the answer. */
    INTERACTIVE(120_000),
    /** No user is waiting; runs when capacity is available. */
    BATCH(600_000);

    private final long mDefaultDeadlineMillis;

    RequestClass(long defaultDeadlineMillis) {
        mDefaultDeadlineMillis = defaultDeadlineMillis;
    }

    /** Returns the deadline in milliseconds that applies if the caller sets none. */
    public long defaultDeadlineMillis() {
        return mDefaultDeadlineMillis;
    }

    /** Returns the name used in headers and messages. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the class with a wire name.
     *
     * @param wireName the name in lower case
     * @return the class, or empty if no class has that name
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
