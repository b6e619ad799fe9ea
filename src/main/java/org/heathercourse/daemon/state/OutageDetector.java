package org.heathercourse.daemon.state;

/** Detects store outages from the status reports of the daemons. Thread-safe. */
@FunctionalInterface
public interface OutageDetector {
    /** Detector without reports, which never confirms an outage. */
    OutageDetector NONE = () -> false;

    /**
     * Returns whether a majority of the listed daemons have a valid report that they cannot reach
     * the store. This distinguishes an outage from a partition that affects only this daemon.
     */
    boolean storeDownForMajority();
}
