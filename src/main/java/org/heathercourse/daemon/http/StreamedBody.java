package org.heathercourse.daemon.http;

import java.io.IOException;
import java.io.InputStream;

/**
 * The body of one request, read by the thread that sends it to a target. Reads fail once more than
 * a maximum number of bytes was read, and after the request has ended: the server uses its input
 * stream again for the next request on the connection. Thread-safe.
 */
final class StreamedBody extends InputStream {
    private final InputStream mInput;
    private long mRemainingBytes;
    private boolean mReading;
    private boolean mEnded;

    /**
     * Wraps a body.
     *
     * @param input input stream of the server
     * @param limitBytes maximum size of the body in bytes
     */
    StreamedBody(InputStream input, long limitBytes) {
        mInput = input;
        mRemainingBytes = limitBytes;
    }

    /**
     * Ends the body; later reads fail.
     *
     * @return whether a read is in progress, which may take bytes of the next request on the
     *     connection unless the connection is closed
     */
    synchronized boolean end() {
        mEnded = true;
        return mReading;
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        beginRead();
        int count = 0;
        try {
            count = mInput.read(buffer, offset, length);
        } finally {
            finishRead(Math.max(0, count));
        }
        return count;
    }

    private synchronized void beginRead() throws IOException {
        requireRunning();
        mReading = true;
    }

    private synchronized void finishRead(int count) throws IOException {
        mReading = false;
        requireRunning();
        mRemainingBytes -= count;
        if (mRemainingBytes < 0) {
            throw new IOException("the body exceeds the limit");
        }
    }

    private void requireRunning() throws IOException {
        if (mEnded) {
            throw new IOException("the request of the body has ended");
        }
    }

    /** Has no effect: the body ends with its request. */
    @Override
    public void close() {
        // The server reads what is left of the body when the request ends.
    }
}
