package org.heathercourse.core.budget;

import java.util.Locale;

/** Outcome of a turn's request to reserve tokens of its program's budget. */
public enum BudgetOutcome {
    /** The tokens are reserved. */
    GRANTED,
    /** The remaining budget does not cover the turn. */
    EXHAUSTED,
    /** The outcome is unknown because the store is unavailable. */
    UNAVAILABLE;

    /** Returns the name used between gateways. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the outcome with a wire name; {@link #UNAVAILABLE} for a name that only a newer
     * gateway knows.
     */
    public static BudgetOutcome fromWireName(String wireName) {
        for (BudgetOutcome outcome : values()) {
            if (outcome.wireName().equals(wireName)) {
                return outcome;
            }
        }
        return UNAVAILABLE;
    }
}
