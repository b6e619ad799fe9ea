package org.heathercourse.daemon.call;

import org.heathercourse.daemon.peer.PeerMessage;

/**
 * Messages of one answer, produced by this daemon or by the owner of the program. Not safe for use
 * by several threads; closed by its reader.
 */
public interface Answer extends AutoCloseable {
    /**
     * Waits for the next message. An answer consists of a head, chunks, and a final {@code CallEnd}
     * or {@code ErrorReply}.
     *
     * @param timeoutMillis maximum time to wait, in milliseconds
     * @return the message, or null if none arrived in time
     * @throws InterruptedException if the thread is interrupted
     */
    PeerMessage next(long timeoutMillis) throws InterruptedException;

    /** Stops reading. Cancels ephemeral calls; calls of programs continue. */
    @Override
    void close();
}
