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

/** Configures logging to standard error or standard output, one line for each event. Stateless. */
public final class LogSetup {
    private LogSetup() {}

    /**
     * Configures the logging of this process to write to standard error.
     *
     * @param level minimum severity of this product's events; libraries log warnings and errors
     *     only
     */
    public static void configure(LogLevel level) {
        configure(level, new ConsoleHandler());
    }

    /**
     * Configures the logging of this process to write to standard output asynchronously: no thread
     * blocks on the output, and lines that exceed the capacity of the queue are dropped and
     * counted.
     *
     * @param level minimum severity of this product's events; libraries log warnings and errors
     *     only
     */
    public static void configureQueued(LogLevel level) {
        configure(level, new QueuedHandler(new FileOutputStream(FileDescriptor.out)));
    }

    private static void configure(LogLevel level, Handler handler) {
        Logger root = Logger.getLogger("");
        for (Handler existing : root.getHandlers()) {
            root.removeHandler(existing);
        }
        handler.setLevel(Level.ALL);
        handler.setFormatter(new LineFormatter());
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        setLevel(level);
    }

    /** Changes the minimum severity of this product's events. */
    public static void setLevel(LogLevel level) {
        PRODUCT_LOGGER.setLevel(level.jdkLevel());
    }

    // A strong reference, as the log manager holds loggers by weak references only.
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
