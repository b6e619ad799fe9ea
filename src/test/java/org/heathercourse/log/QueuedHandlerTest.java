package org.heathercourse.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Guards against threads that block on logging because nothing reads the log output. */
class QueuedHandlerTest {
    /** Output stream whose writes block until it is unblocked. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch mUnblocked = new CountDownLatch(1);
        private final ByteArrayOutputStream mWritten = new ByteArrayOutputStream();

        @Override
        public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int count) {
            try {
                mUnblocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (mWritten) {
                mWritten.write(bytes, from, count);
            }
        }

        String written() {
            synchronized (mWritten) {
                return mWritten.toString(StandardCharsets.UTF_8);
            }
        }
    }

    private final BlockedOutput mOut = new BlockedOutput();
    private final QueuedHandler mHandler = new QueuedHandler(mOut);

    private void publish(int lines) {
        mHandler.setFormatter(
                new Formatter() {
                    @Override
                    public String format(LogRecord record) {
                        return record.getMessage() + "\n";
                    }
                });
        for (int i = 0; i < lines; i++) {
            mHandler.publish(new LogRecord(Level.INFO, "line-" + i));
        }
    }

    @Test
    void linesBeyondCapacityAreDroppedAndCounted() {
        publish(QueuedHandler.CAPACITY * 3);
        mOut.mUnblocked.countDown();
        await().until(() -> mOut.written().contains("log_lines_dropped"));
        assertThat(mOut.written()).contains("line-0\n");
    }

    @Test
    void closeWritesQueuedLines() {
        mOut.mUnblocked.countDown();
        publish(10);
        mHandler.close();
        assertThat(mOut.written()).contains("line-9\n");
    }
}
