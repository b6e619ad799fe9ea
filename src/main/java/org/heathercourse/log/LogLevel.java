package org.heathercourse.log;

import java.util.Locale;
import java.util.Optional;
import java.util.logging.Level;

/** Minimum severity of the events that are logged. */
public enum LogLevel {
    DEBUG(Level.FINE),
    INFO(Level.INFO),
    WARN(Level.WARNING),
    ERROR(Level.SEVERE);

    private final Level mJdkLevel;

    LogLevel(Level jdkLevel) {
        mJdkLevel = jdkLevel;
    }

    /** Returns the corresponding level of the JDK's logging. */
    public Level jdkLevel() {
        return mJdkLevel;
    }

    /**
     * Returns the level of the given name.
     *
     * @param name name in lower case
     * @return the level, or empty if no level has that name
     */
    public static Optional<LogLevel> fromName(String name) {
        for (LogLevel level : values()) {
            if (level.name().toLowerCase(Locale.ROOT).equals(name)) {
                return Optional.of(level);
            }
        }
        return Optional.empty();
    }
}
