package org.heathercourse.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Asynchronous log handler that writes lines on its own thread, so that a slow reader of the output
 * blocks no other thread.
 *
 * <p>At most {@link #CAPACITY} lines are queued. Lines beyond that are dropped, and their number is
 * logged with the next batch. Safe for use by several threads. The writer thread starts with the
 * handler and ends with {@link #close()}, which also runs at the shutdown of the process.
 */
final class QueuedHandler extends Handler {
    /** Maximum number of queued lines. */
    static final int CAPACITY = 2_000;

    /** Delay after the first line of a batch; collecting lines saves wake-ups of the writer. */
    private static final long BATCH_DELAY_MILLIS = 100;

    /** Maximum time that {@link #close()} waits for the remaining lines. */
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final OutputStream mOut;
    private final BlockingQueue<String> mLines = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong mDropped = new AtomicLong();
    private final Thread mWriter;

    QueuedHandler(OutputStream out) {
        mOut = out;
        mWriter = new Thread(this::writeLines, "log");
        mWriter.setDaemon(true);
        mWriter.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close, "log-close"));
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record) && !mLines.offer(getFormatter().format(record))) {
            mDropped.incrementAndGet();
        }
    }

    private void writeLines() {
        List<String> batch = new ArrayList<>();
        try {
            while (true) {
                batch.add(mLines.take());
                Thread.sleep(BATCH_DELAY_MILLIS);
                writeQueued(batch);
            }
        } catch (InterruptedException e) {
            // The handler is closed: queued lines are still written.
            Thread.currentThread().interrupt();
            writeRemaining(batch);
        } catch (IOException e) {
            // The output is closed, and there is no other place to report that.
            mLines.clear();
        }
    }

    private void writeQueued(List<String> batch) throws IOException {
        mLines.drainTo(batch);
        write(batch);
        batch.clear();
    }

    private void writeRemaining(List<String> batch) {
        try {
            writeQueued(batch);
        } catch (IOException e) {
            // The output is closed.
            mLines.clear();
        }
    }

    private void write(List<String> batch) throws IOException {
        StringBuilder text = new StringBuilder();
        batch.forEach(text::append);
        long dropped = mDropped.getAndSet(0);
        if (dropped > 0) {
            text.append(EventLog.line("log_lines_dropped", "count", dropped)).append('\n');
        }
        mOut.write(text.toString().getBytes(StandardCharsets.UTF_8));
        mOut.flush();
    }

    @Override
    public void flush() {
        // The writer flushes after each batch.
    }

    @Override
    public void close() {
        mWriter.interrupt();
        try {
            mWriter.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
