package org.heathercourse.log;

import org.jboss.logging.Logger;

/**
 * Structured logger that writes one line of {@code key=value} pairs for each event.
 *
 * <p>Immutable and safe for use by several threads. Callers must not pass keys, secrets or message
 * contents as values.
 */
public final class EventLog {
    /**
     * Maximum number of characters of a value. Callers choose names and identities, and many lines
     * may wait to be written.
     */
    static final int MAX_VALUE_CHARS = 1_000;

    private static final String CUT_MARK = "...";

    private final Logger mLogger;

    private EventLog(Logger logger) {
        mLogger = logger;
    }

    /**
     * Returns the logger of a class.
     *
     * @param source class whose name is the logger's category
     * @return the logger
     */
    public static EventLog of(Class<?> source) {
        return new EventLog(Logger.getLogger(source));
    }

    /** Logs an event that is relevant to operators. */
    public void info(String event, Object... pairs) {
        if (mLogger.isInfoEnabled()) {
            mLogger.info(line(event, pairs));
        }
    }

    /** Logs an event that an operator should investigate if it recurs. */
    public void warn(String event, Object... pairs) {
        mLogger.warn(line(event, pairs));
    }

    /** Logs a defect with its stack trace. */
    public void error(String event, Throwable cause, Object... pairs) {
        mLogger.error(line(event, pairs), cause);
    }

    /** Logs an event that is relevant to developers. */
    public void debug(String event, Object... pairs) {
        if (mLogger.isDebugEnabled()) {
            mLogger.debug(line(event, pairs));
        }
    }

    /**
     * Formats an event.
     *
     * @param event name of the event
     * @param pairs alternating names and values
     * @return the line; empty values and values with blanks, control characters, quotes, equals
     *     signs or backslashes are quoted, and values beyond {@link #MAX_VALUE_CHARS} are cut
     * @throws IllegalArgumentException if a name has no value
     */
    static String line(String event, Object... pairs) {
        if (pairs.length % 2 != 0) {
            throw new IllegalArgumentException(
                    "event "
                            + event
                            + " has "
                            + pairs.length
                            + " arguments, expected an even number of names and values");
        }
        StringBuilder out = new StringBuilder("event=").append(event);
        for (int i = 0; i < pairs.length; i += 2) {
            out.append(' ').append(pairs[i]).append('=');
            out.append(quote(bounded(String.valueOf(pairs[i + 1]))));
        }
        return out.toString();
    }

    private static String bounded(String value) {
        return value.length() <= MAX_VALUE_CHARS
                ? value
                : value.substring(0, MAX_VALUE_CHARS) + CUT_MARK;
    }

    private static String quote(String value) {
        boolean plain = !value.isEmpty();
        for (int i = 0; i < value.length() && plain; i++) {
            char c = value.charAt(i);
            plain = c > ' ' && c != '"' && c != '=' && c != '\\';
        }
        if (plain) {
            return value;
        }
        return '"'
                + value.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r")
                + '"';
    }
}
