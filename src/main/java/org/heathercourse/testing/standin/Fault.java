package org.heathercourse.testing.standin;

import java.util.Locale;

/** Faults that a part can be told to show. The meaning of the value is given for each. */
public enum Fault {
    /** Delays each request by the value in milliseconds. */
    DELAY_MS,
    /**
     * Without a count: closes the listening socket, so that connections are refused. With a count:
     * answers status 503 with {@code not_run: true} without any effect.
     */
    REFUSE,
    /** Closes every connection without effect and without an answer. */
    OUTAGE,
    /** Handles a request that changes something and closes the connection without an answer. */
    LOSE_REPLY,
    /** Sets the lag of the VM list, of load reports and of cache events, in milliseconds. */
    LAG_MS,
    /** Drops this share of the cache events, from 0 to 1; their sequence numbers are missing. */
    DROP_EVENTS,
    /** Holds requests and stops generation for the value in milliseconds; 0 until cleared. */
    PAUSE,
    /** Answers this share of the requests, from 0 to 1, with status 500 and without effect. */
    FAIL_RATE,
    /** Makes an engine carry out orders with an old fencing number. */
    IGNORE_FENCING;

    /** Returns the name used in JSON. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the fault with the given name.
     *
     * @param name name as used in JSON
     * @throws IllegalArgumentException if there is none
     */
    public static Fault of(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }
}
