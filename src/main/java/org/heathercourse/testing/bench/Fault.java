package org.heathercourse.testing.bench;

import java.util.Locale;

/** Faults of a run; each begins after a third of the arrivals. */
enum Fault {
    NONE,
    /** One engine loses its calls and cache and comes back empty after a sixth of the run. */
    ENGINE_LOSS,
    /** All engines and daemons of a zone are lost; the engines come back after a sixth. */
    ZONE_LOSS,
    /** One workspace sends four times its usual rate for a third of the run. */
    NOISY_NEIGHBOUR,
    /** One engine is declared draining for a sixth of the run. */
    DRAIN;

    static Fault fromName(String name) {
        return valueOf(name.replace('-', '_').toUpperCase(Locale.ROOT));
    }
}
