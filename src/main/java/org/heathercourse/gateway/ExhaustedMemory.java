package org.heathercourse.gateway;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Ends the process when a thread has run out of memory: the error leaves event loops and tables in
 * an unknown state, and the process then stayed up without answering. The option {@code
 * -XX:+ExitOnOutOfMemoryError} does the same earlier; this holds without it, and for errors that
 * libraries throw themselves. Libraries catch errors in their threads and log them, so that log
 * records are examined as well. Thread-safe.
 */
public final class ExhaustedMemory {
    /** Exit code, the same as that of {@code -XX:+ExitOnOutOfMemoryError}. */
    public static final int EXIT_CODE = 3;

    private static final int MAX_CAUSES = 8;

    /** Encoded early, as there is no memory for it later. */
    private static final byte[] LINE =
            "level=severe event=memory_exhausted remedy=restart\n"
                    .getBytes(StandardCharsets.US_ASCII);

    private static final FileOutputStream OUTPUT = new FileOutputStream(FileDescriptor.out);

    private ExhaustedMemory() {}

    /** Examines the errors that end threads and those in log records from now on. */
    public static void install() {
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, error) -> {
                    endIfExhausted(error);
                    System.err.println("uncaught in thread " + thread.getName() + ": " + error);
                });
        Logger.getLogger("").addHandler(new ErrorHandler());
    }

    /** Ends the process if an error, or one of its causes, is an {@link OutOfMemoryError}. */
    static void endIfExhausted(Throwable error) {
        Throwable cause = error;
        for (int i = 0; i < MAX_CAUSES && cause != null; i++) {
            if (cause instanceof OutOfMemoryError) {
                end(error);
            }
            cause = cause.getCause();
        }
    }

    private static void end(Throwable error) {
        try {
            OUTPUT.write(LINE);
            error.printStackTrace();
        } catch (IOException | OutOfMemoryError e) {
            // The process ends with or without the lines.
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }

    private static final class ErrorHandler extends Handler {
        @Override
        public void publish(LogRecord record) {
            endIfExhausted(record.getThrown());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
