package org.heathercourse.core.placement;

/**
 * Limits of a {@link Scheduler} that do not depend on the deployment's policy. Immutable.
 *
 * @param maxPrograms most programs whose received service is remembered
 * @param maxSessions most sessions whose cached prefix is remembered
 * @param sampleSize targets sampled besides the holders of the prefix
 * @param maxHolders most holders of a session that are remembered
 */
public record SchedulerSettings(int maxPrograms, int maxSessions, int sampleSize, int maxHolders) {
    /** Limits that suit the target size: 37,000 programs over 64 owners with reserve. */
    public static final SchedulerSettings DEFAULT = new SchedulerSettings(65_536, 131_072, 2, 4);
}
