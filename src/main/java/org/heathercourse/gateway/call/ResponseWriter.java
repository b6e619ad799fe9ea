package org.heathercourse.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;

/** The caller of one request, to whom its answer is written. Confined to the traffic loop. */
public interface ResponseWriter {
    /** Length of an answer that is written in chunks. */
    long UNKNOWN_LENGTH = -1;

    /**
     * Begins the answer.
     *
     * @param status HTTP status
     * @param reason reason phrase; empty for the usual one
     * @param headers headers that go through to the caller
     * @param lengthBytes length of the body, or {@link #UNKNOWN_LENGTH}
     */
    void begin(int status, String reason, HttpHeaders headers, long lengthBytes);

    /** Writes a part of the body. */
    void write(byte[] bytes);

    /** Ends the answer. */
    void end();

    /** Breaks the answer off so that it does not look complete. */
    void abort();

    /** Returns whether the caller takes more without buffering without bound. */
    boolean isWritable();
}
