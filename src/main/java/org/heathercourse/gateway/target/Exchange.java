package org.heathercourse.gateway.target;

import io.netty.handler.codec.http.FullHttpRequest;

/** One request on a connection to a target. Confined to the traffic loop. */
public final class Exchange {
    private final TargetConnection mConnection;

    Exchange(TargetConnection connection) {
        mConnection = connection;
    }

    /**
     * Sends the request.
     *
     * @param request the request; released by this call
     * @param requestId identity that the answer must name
     * @param answer receives the answer
     */
    public void send(FullHttpRequest request, String requestId, ResponseListener answer) {
        mConnection.send(request, requestId, answer);
    }

    /** Gives the connection back unused. */
    public void closeUnused() {
        mConnection.close();
    }

    /** Ends the exchange; no more is received. */
    public void cancel() {
        mConnection.cancel();
    }

    /** Stops or resumes reading the answer. */
    public void setAutoRead(boolean enabled) {
        mConnection.setAutoRead(enabled);
    }
}
