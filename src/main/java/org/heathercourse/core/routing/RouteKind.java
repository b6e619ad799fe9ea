package org.heathercourse.core.routing;

/** Kind of a route, which decides how its requests may be repeated. */
public enum RouteKind {
    /** Requests may run any number of times; answers are short and buffered until complete. */
    IDEMPOTENT {
        @Override
        public boolean repeatable(boolean resumable) {
            return true;
        }
    },

    /** Requests run at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean repeatable(boolean resumable) {
            return false;
        }
    },

    /** Answers are event streams, which may be resumed only if the route is resumable. */
    STREAMING {
        @Override
        public boolean repeatable(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Returns whether a request may be sent again after it may have run.
     *
     * @param resumable whether the route allows resuming interrupted answers
     */
    public abstract boolean repeatable(boolean resumable);
}
