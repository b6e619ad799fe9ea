package org.heathercourse.log;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends logs to standard error, one line for each event. */
public final class LogSetup {
    private LogSetup() {}

    /**
     * Configures the logging of this process.
     *
     * @param level how much of this product's own events is logged; libraries log warnings only
     */
    public static void configure(LogLevel level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler console = new ConsoleHandler();
        console.setLevel(Level.ALL);
        console.setFormatter(new LineFormatter());
        root.addHandler(console);
        root.setLevel(Level.WARNING);
        PRODUCT_LOGGER.setLevel(level.jdkLevel());
    }

    // Held here because the log manager keeps loggers by weak references only.
    private static final Logger PRODUCT_LOGGER = Logger.getLogger("org.heathercourse");

    private static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord record) {
            StringBuilder out = new StringBuilder(160);
            out.append("time=").append(Instant.ofEpochMilli(record.getMillis()));
            out.append(" level=").append(record.getLevel().getName().toLowerCase());
            out.append(" logger=").append(shortName(record.getLoggerName()));
            String message = formatMessage(record);
            if (message.startsWith("event=")) {
                out.append(' ').append(message);
            } else {
                out.append(' ').append(EventLog.line("library_message", "message", message));
            }
            if (record.getThrown() != null) {
                out.append(EventLog.line("", "cause", stack(record.getThrown())).substring(6));
            }
            return out.append('\n').toString();
        }

        private static String shortName(String logger) {
            return logger == null ? "" : logger.substring(logger.lastIndexOf('.') + 1);
        }

        private static String stack(Throwable thrown) {
            StringBuilder out = new StringBuilder(String.valueOf(thrown));
            for (StackTraceElement element : thrown.getStackTrace()) {
                out.append("; at ").append(element);
            }
            return out.toString();
        }
    }
}
