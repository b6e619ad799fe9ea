package org.heathercourse.gateway.store;

import java.util.concurrent.CompletableFuture;
import org.heathercourse.platform.rows.StoreChannel;

/** Sends requests to the store through another gateway. */
@FunctionalInterface
public interface PeerChannel {
    /**
     * Sends a request.
     *
     * @param request the request
     * @param timeoutMillis maximum time until the store's reply, in milliseconds
     * @return the reply of the store; fails with a {@link
     *     org.heathercourse.platform.StoreException}
     */
    CompletableFuture<StoreChannel.Reply> send(StoreChannel.Request request, long timeoutMillis);
}
