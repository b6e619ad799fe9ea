package org.heathercourse.testing.bench;

/**
 * Settings of a run of the rate bench.
 *
 * @param seed seed of all randomness
 * @param vms number of daemons
 * @param seconds length of the traffic
 * @param faults whether grantors die and a zone is cut off
 * @param ratePerSecond rate of each workspace
 * @param burst burst of each workspace
 * @param load arrivals of the first workspace relative to its rate
 * @param moveSeconds time over which traffic moves to its next distribution
 * @param movedPart part of the VMs whose weight changes every few seconds
 * @param deaths number of grantors that die, evenly spread over the run, if there are faults
 */
public record RateScenario(
        long seed,
        int vms,
        int seconds,
        boolean faults,
        double ratePerSecond,
        double burst,
        double load,
        double moveSeconds,
        double movedPart,
        int deaths) {
    /** Time between two distributions of the traffic over the VMs. */
    static final double DISTRIBUTION_SECONDS = 10;

    /** Delay of a message one way: the base plus up to the jitter. */
    static final double DELAY_MILLIS = 4;

    static final double JITTER_MILLIS = 2;

    /** Share of messages that are lost. */
    static final double LOSS = 0.005;
}
