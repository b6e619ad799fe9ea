package org.heathercourse.platform;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Map;

/**
 * Forwards requests to plain services and tool services.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface PlainClient {
    /**
     * A request.
     *
     * @param method HTTP method
     * @param pathAndQuery path below the base URL of the target, with query
     * @param headers headers to send; the caller's credentials are not among them
     * @param body the body; null if there is none
     * @param bodyLength length of the body in bytes, or -1 if it is not known
     * @param timeoutMillis timeout of the whole exchange, in milliseconds
     */
    record Request(
            String method,
            String pathAndQuery,
            Map<String, List<String>> headers,
            InputStream body,
            long bodyLength,
            long timeoutMillis) {}

    /**
     * A response whose body is still being received. The receiver must close it.
     *
     * @param status HTTP status
     * @param headers headers of the response
     * @param body the body, read once; closing it ends the exchange
     */
    record Response(int status, Map<String, List<String>> headers, InputStream body)
            implements AutoCloseable {
        @Override
        public void close() throws IOException {
            body.close();
        }
    }

    /**
     * Sends a request and blocks until the status and headers of the response are received.
     *
     * @param target the target
     * @param request the request
     * @return the response
     * @throws TargetException if there is no response; its failure tells whether the request was
     *     sent
     */
    Response send(TargetAddress target, Request request);
}
