package org.heathercourse.testing.standin;

import java.util.Locale;

/** Faults that can be injected into a part. Each constant documents the meaning of its value. */
public enum Fault {
    /** Delays each request by the value in milliseconds. */
    DELAY_MS,
    /**
     * Without a count: closes the listening socket, so that connections are refused. With a count:
     * responds with status 503 and {@code not_run: true}, and does not execute the request.
     */
    REFUSE,
    /** Closes each connection without executing the request and without a response. */
    OUTAGE,
    /** Executes a request that has side effects and closes the connection without a response. */
    LOSE_REPLY,
    /** Sets the lag of the VM list, of load reports and of cache events, in milliseconds. */
    LAG_MS,
    /** Drops this fraction (0 to 1) of the cache events; their sequence numbers are skipped. */
    DROP_EVENTS,
    /** Delays requests and generation for the value in milliseconds; with 0 until cleared. */
    PAUSE,
    /** Fails this fraction (0 to 1) of the requests with status 500, without executing them. */
    FAIL_RATE,
    /** Makes an engine execute orders with a stale fencing number. */
    IGNORE_FENCING;

    /** Returns the name used in JSON. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the fault with the given name.
     *
     * @param name name as used in JSON
     * @throws IllegalArgumentException if no fault has this name
     */
    public static Fault of(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }
}
