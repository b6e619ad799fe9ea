package org.heathercourse.daemon.state;

/** What other daemons say about the store. Safe for use by several threads. */
@FunctionalInterface
public interface OutageDetector {
    /** Evidence of a daemon that knows nothing about others. */
    OutageDetector NONE = () -> false;

    /**
     * Returns whether a majority of the listed daemons reported within their validity that they
     * cannot reach the store, so that an outage is told apart from this daemon being cut off alone.
     */
    boolean storeDownForMajority();
}
