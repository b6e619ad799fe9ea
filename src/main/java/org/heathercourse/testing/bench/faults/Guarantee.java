package org.heathercourse.testing.bench.faults;

import java.util.Locale;

/** Guarantees of the system whose violations the bench counts. */
public enum Guarantee {
    ORDER,
    HISTORY,
    BUDGET,
    MEMORY_RELEASED,
    WORKSPACE_ISOLATION,
    KEY_SECRECY,
    KEY_WITHDRAWAL,
    RATE_CEILING,
    WHOLE_ANSWERS,
    TRUE_NOT_RUN,
    AT_MOST_ONCE,
    LEAVING_TARGET,
    GRACEFUL_STOP,
    CONFIG_IN_FORCE;

    /** Returns the name used in the JSON result. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
