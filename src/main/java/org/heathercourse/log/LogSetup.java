package org.heathercourse.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends logs to standard error or standard output, one line for each event. */
public final class LogSetup {
    private LogSetup() {}

    /**
     * Configures the logging of this process.
     *
     * @param level how much of this product's own events is logged; libraries log warnings only
     */
    public static void configure(LogLevel level) {
        configure(level, new ConsoleHandler());
    }

    /**
     * Configures the logging of this process to write to standard output without ever waiting for
     * it: lines that find no room are counted and dropped.
     *
     * @param level how much of this product's own events is logged
     */
    public static void configureQueued(LogLevel level) {
        configure(level, new QueuedHandler(new FileOutputStream(FileDescriptor.out)));
    }

    private static void configure(LogLevel level, Handler handler) {
        Logger root = Logger.getLogger("");
        for (Handler before : root.getHandlers()) {
            root.removeHandler(before);
        }
        handler.setLevel(Level.ALL);
        handler.setFormatter(new LineFormatter());
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        setLevel(level);
    }

    /** Changes how much of this product's own events is logged. */
    public static void setLevel(LogLevel level) {
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
