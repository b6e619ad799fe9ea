package org.heathercourse.core.routing;

import java.util.Optional;

/** The result of the check of a caller's key against a configuration. */
public enum KeyVerdict {
    /** The route is open to all. */
    NOT_NEEDED,

    /** The key belongs to a workspace. */
    VALID,

    /** The key is missing or belongs to no workspace. */
    INVALID,

    /** The configuration is too old to tell whether the key is still valid. */
    UNCERTAIN;

    /**
     * Checks the key of a request that arrives.
     *
     * @param table configuration in force
     * @param route route of the request
     * @param key key of the caller; null if there is none
     * @param isFresh whether the configuration is recent enough to accept keys
     */
    public static KeyVerdict of(RoutingTable table, Route route, String key, boolean isFresh) {
        if (!table.requiresKey(route)) {
            return NOT_NEEDED;
        }
        if (!isFresh) {
            return UNCERTAIN;
        }
        return table.workspaceByKey(key).isPresent() ? VALID : INVALID;
    }

    /**
     * Checks again the key of a request that was admitted earlier and has waited since. A key that
     * now belongs to another workspace is invalid, as the request would still run for the one that
     * it was admitted for.
     *
     * @param table configuration in force now
     * @param route route of the request
     * @param key key of the caller; null if there is none
     * @param isFresh whether the configuration is recent enough to accept keys
     * @param admittedFor workspace of the key at its admission; null if no key was needed then
     */
    public static KeyVerdict ofWaiting(
            RoutingTable table, Route route, String key, boolean isFresh, Workspace admittedFor) {
        KeyVerdict verdict = of(table, route, key, isFresh);
        if (verdict != VALID || admittedFor == null) {
            return verdict;
        }
        Optional<Workspace> owner = table.workspaceByKey(key);
        boolean isSameOwner =
                owner.map(Workspace::name).filter(admittedFor.name()::equals).isPresent();
        return isSameOwner ? VALID : INVALID;
    }
}
