package org.heathercourse.gateway.target;

import io.netty.handler.codec.http.FullHttpRequest;

/** One request and its response on a connection to a target. Confined to the traffic loop. */
public final class Exchange {
    private final TargetConnection mConnection;
    private ConnectionUse mConnectionUse = ConnectionUse.NONE;

    Exchange(TargetConnection connection) {
        mConnection = connection;
    }

    /**
     * Sends the request.
     *
     * @param request the request; released by this call
     * @param requestId request id that the response must carry
     * @param listener receives the response
     */
    public void send(FullHttpRequest request, String requestId, ResponseListener listener) {
        mConnectionUse = mConnection.use();
        mConnection.send(request, requestId, listener);
    }

    /** Returns what the connection had carried when the request was sent. */
    public ConnectionUse connectionUse() {
        return mConnectionUse;
    }

    /**
     * Returns the number of responses to other requests that came before the own response. To be
     * called no later than at the end of the response.
     */
    public int skippedResponses() {
        return mConnection.skippedResponses();
    }

    /** Leaves the connection to other requests without sending one. */
    public void releaseUnused() {
        mConnection.releaseUnused();
    }

    /** Closes the connection without sending a request. */
    public void closeUnused() {
        mConnection.close();
    }

    /** Closes the connection; the listener is not called any more. */
    public void cancel() {
        mConnection.cancel();
    }

    /** Pauses or resumes reading the response. */
    public void setAutoRead(boolean enabled) {
        mConnection.setAutoRead(enabled);
    }
}
