package org.heathercourse.daemon.call;

import org.heathercourse.daemon.peer.PeerMessage;

/** An answer as the front side reads it, wherever it is produced. Not safe for several threads. */
public interface Answer extends AutoCloseable {
    /**
     * Waits for the next message: a head, chunks, and one last {@code CallEnd} or {@code
     * ErrorReply}.
     *
     * @param timeoutMillis longest time to wait in milliseconds
     * @return the message, or null if none came in time
     * @throws InterruptedException if the thread is interrupted
     */
    PeerMessage next(long timeoutMillis) throws InterruptedException;

    /** Tells that the reader went away. Calls of programs go on all the same. */
    @Override
    void close();
}
