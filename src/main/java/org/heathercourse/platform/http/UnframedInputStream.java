package org.heathercourse.platform.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import okhttp3.HttpUrl;

/**
 * Passes on a body that ends with its connection, and fails at its end unless the target still
 * accepts connections: the end of a process ends its connections in the same way as its responses.
 */
final class UnframedInputStream extends FilterInputStream {
    /** The end of a process closes its connections and its port one after the other. */
    private static final int CHECK_DELAY_MILLIS = 10;

    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    private final HttpUrl mTargetUrl;
    private boolean mEndChecked;

    /**
     * Wraps a body.
     *
     * @param body the body
     * @param targetUrl URL whose host and port are those of the target
     */
    UnframedInputStream(InputStream body, HttpUrl targetUrl) {
        super(body);
        mTargetUrl = targetUrl;
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    /**
     * {@inheritDoc}
     *
     * @throws IOException also if the body ends and the target accepts no connection
     */
    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        int count = super.read(buffer, offset, length);
        if (count < 0 && !mEndChecked) {
            checkTarget();
            mEndChecked = true;
        }
        return count;
    }

    private void checkTarget() throws IOException {
        try (Socket socket = new Socket()) {
            TimeUnit.MILLISECONDS.sleep(CHECK_DELAY_MILLIS);
            socket.connect(
                    new InetSocketAddress(mTargetUrl.host(), mTargetUrl.port()),
                    CONNECT_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted at the end of a body");
        } catch (IOException e) {
            throw new IOException(
                    "the body ended with its connection, and the target accepts no other", e);
        }
    }
}
