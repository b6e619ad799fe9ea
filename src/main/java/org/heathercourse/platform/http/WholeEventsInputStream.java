package org.heathercourse.platform.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.heathercourse.core.stream.EventBoundary;

/**
 * Passes on a body of server-sent events, and fails at its end if that lies inside an event: the
 * stream has then been broken off, although a body that ends with its connection looks whole.
 */
final class WholeEventsInputStream extends FilterInputStream {
    private final EventBoundary mBoundary = new EventBoundary();

    WholeEventsInputStream(InputStream body) {
        super(body);
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    /**
     * {@inheritDoc}
     *
     * @throws IOException also if the stream ends inside an event
     */
    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        int count = super.read(buffer, offset, length);
        if (count >= 0) {
            mBoundary.add(buffer, offset, count);
        } else if (!mBoundary.isBetweenEvents()) {
            throw new IOException("the stream ended inside an event");
        }
        return count;
    }
}
