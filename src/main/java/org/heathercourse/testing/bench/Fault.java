package org.heathercourse.testing.bench;

import java.util.Locale;

/** Faults of a {@link PolicyRun}; each begins after a third of the arrival time. */
enum Fault {
    NONE,
    /**
     * One engine fails, loses its calls and its cache, and restarts empty after a sixth of the
     * arrival time.
     */
    ENGINE_LOSS,
    /**
     * All engines and daemons of a zone fail; the engines restart after a sixth of the arrival
     * time.
     */
    ZONE_LOSS,
    /** One workspace sends four times its usual rate for a third of the arrival time. */
    NOISY_NEIGHBOUR,
    /** One engine is declared draining for a sixth of the arrival time. */
    DRAIN;

    static Fault fromName(String name) {
        return valueOf(name.replace('-', '_').toUpperCase(Locale.ROOT));
    }
}
