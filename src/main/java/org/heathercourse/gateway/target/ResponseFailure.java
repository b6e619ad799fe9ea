package org.heathercourse.gateway.target;

/** Why a request that was sent to a target has no usable response. */
public enum ResponseFailure {
    /** The connection ended; the target's process may have ended too. */
    CONNECTION_LOST,
    /** The target sent something that is no acceptable response, so its process is alive. */
    INVALID_RESPONSE
}
