package org.heathercourse.platform.entry;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Reads and writes the headers of requests and responses of calls. Implementations are immutable.
 */
public interface CallFormat {
    /** Reads the headers of a caller's request; a malformed number counts as absent. */
    CallFacts read(HttpHeaders headers);

    /**
     * Removes from a request the headers that only gateways may set, and the caller's key.
     *
     * @param headers headers as the caller sent them
     */
    void removeReserved(HttpHeaders headers);

    /**
     * Sets the headers of a gateway in a request to a target.
     *
     * @param headers headers of the request, without reserved ones
     * @param dispatch values to set
     */
    void write(HttpHeaders headers, Dispatch dispatch);

    /**
     * Reads the metadata of a target's response.
     *
     * @param status HTTP status of the response
     * @param headers headers of the response
     */
    AnswerFacts readAnswer(int status, HttpHeaders headers);
}
