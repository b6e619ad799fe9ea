package org.heathercourse.platform.rows;

import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests to the store. Implementations are safe for use by several threads. */
public interface StoreChannel {
    /**
     * A request to the store. The array must not be changed.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param body body; empty if there is none
     */
    record Request(String method, String uri, byte[] body) {}

    /**
     * A reply of the store. The array must not be changed.
     *
     * @param status HTTP status
     * @param body body
     */
    record Reply(int status, byte[] body) {}

    /**
     * Sends a request.
     *
     * @param request the request
     * @param timeoutMillis timeout until the whole reply is received, in milliseconds
     * @return the reply, whatever its status; fails with a {@link
     *     org.heathercourse.platform.StoreException} if there is none
     */
    CompletableFuture<Reply> send(Request request, long timeoutMillis);
}
