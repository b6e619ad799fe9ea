package org.heathercourse.daemon.http;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.server.AbstractConnector;
import org.eclipse.jetty.server.Server;
import org.heathercourse.log.EventLog;

/** Ends the connections of the embedded HTTP server before it is stopped. Stateless. */
final class JettyStop {
    private static final EventLog LOG = EventLog.of(JettyStop.class);

    /** Time in milliseconds after which a connection without progress is closed. */
    private static final long IDLE_TIMEOUT_MILLIS = 2_000;

    private JettyStop() {}

    /**
     * Stops listening and waits until no connection is left. Requests that are being read are
     * handled and responses are sent to their end. The server itself still runs.
     *
     * @param server a running server
     * @param timeoutMillis maximum time to wait, in milliseconds
     * @return number of connections that are still open
     */
    static int endConnections(Server server, long timeoutMillis) {
        List<AbstractConnector> connectors =
                Arrays.stream(server.getConnectors())
                        .filter(AbstractConnector.class::isInstance)
                        .map(AbstractConnector.class::cast)
                        .toList();
        CompletableFuture<?>[] ends =
                connectors.stream().map(JettyStop::shutDown).toArray(CompletableFuture<?>[]::new);
        try {
            CompletableFuture.allOf(ends).get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LOG.warn("connections_still_open", "timeout_ms", timeoutMillis);
        } catch (ExecutionException e) {
            LOG.error("connections_not_ended", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return connectors.stream().mapToInt(c -> c.getConnectedEndPoints().size()).sum();
    }

    private static CompletableFuture<Void> shutDown(AbstractConnector connector) {
        connector.setShutdownIdleTimeout(IDLE_TIMEOUT_MILLIS);
        return connector.shutdown();
    }
}
