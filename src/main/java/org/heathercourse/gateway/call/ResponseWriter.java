package org.heathercourse.gateway.call;

import io.netty.handler.codec.http.HttpHeaders;

/** Writes the HTTP response to the caller of one request. Confined to the traffic loop. */
public interface ResponseWriter {
    /** Length in bytes that stands for a body of unknown length, which is sent in chunks. */
    long UNKNOWN_LENGTH = -1;

    /**
     * Writes the status line and the headers.
     *
     * @param status HTTP status
     * @param reason reason phrase; empty for the standard one
     * @param headers end-to-end headers of the response
     * @param lengthBytes length of the body in bytes, or {@link #UNKNOWN_LENGTH}
     */
    void begin(int status, String reason, HttpHeaders headers, long lengthBytes);

    /** Writes the next part of the body. */
    void write(byte[] bytes);

    /** Ends the response; the connection closes afterwards unless it is kept alive. */
    void end();

    /** Closes the connection, so that the caller cannot take the response for a complete one. */
    void abort();

    /** Returns whether the write buffer of the connection is below its high-water mark. */
    boolean isWritable();
}
