package org.heathercourse.core.routing;

/**
 * Whether the requests of a configuration need a key of a workspace.
 *
 * <p>It follows from whether the configuration declares workspaces, and never from how many there
 * are: a configuration whose last workspace was removed has no valid key.
 */
public enum KeyPolicy {
    /** The configuration declares its workspaces, possibly none of them. */
    KEYS_REQUIRED {
        @Override
        public boolean requiresKey(Route route) {
            return !route.allowsAnonymous();
        }
    },

    /** The configuration says nothing about workspaces; all routes are open to all. */
    NO_KEYS {
        @Override
        public boolean requiresKey(Route route) {
            return false;
        }
    };

    /** Returns whether a request on a route needs a valid key. */
    public abstract boolean requiresKey(Route route);
}
