package org.heathercourse.testing.bench;

/**
 * Settings of a run of the rate bench. Immutable.
 *
 * @param seed seed of all randomness
 * @param vms number of daemons
 * @param seconds duration of the traffic
 * @param faults whether grantors crash and a zone is partitioned
 * @param ratePerSecond rate of each workspace in calls per second
 * @param burst burst of each workspace in calls
 * @param load arrival rate of the first workspace relative to its rate limit
 * @param moveSeconds time in which the traffic changes from one distribution to the next
 * @param movedFraction fraction of the VMs, on average, whose weight changes with each distribution
 * @param grantorDeaths number of crashes of grantors, evenly spread over the run, if there are
 *     faults
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
        double movedFraction,
        int grantorDeaths) {
    /** Time between two changes of the distribution of the traffic over the VMs. */
    static final double DISTRIBUTION_SECONDS = 10;

    /** One-way delay of a message; a uniformly distributed jitter is added. */
    static final double MIN_DELAY_MILLIS = 4;

    static final double JITTER_MILLIS = 2;

    /** Probability that a message is lost. */
    static final double LOSS_PROBABILITY = 0.005;
}
