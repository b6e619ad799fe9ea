package org.heathercourse.daemon.call;

import java.util.Locale;
import java.util.Optional;

/** How the messages of a model call relate to the stored history of its program. */
public enum HistoryMode {
    /** The messages are the whole conversation and must extend the stored history. */
    FULL,
    /** The messages are appended to the stored history. */
    APPEND;

    /** Returns the name used in headers, which is in lower case. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the mode with the given wire name.
     *
     * @param wireName the name, in lower case
     * @return the mode, or empty if no mode has that name
     */
    public static Optional<HistoryMode> fromWireName(String wireName) {
        for (HistoryMode mode : values()) {
            if (mode.wireName().equals(wireName)) {
                return Optional.of(mode);
            }
        }
        return Optional.empty();
    }
}
