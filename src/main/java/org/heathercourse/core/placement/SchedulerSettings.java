package org.heathercourse.core.placement;

/**
 * Limits of a {@link Scheduler} that do not depend on the deployment's policy. Immutable.
 *
 * @param maxPrograms maximum number of programs with recorded service
 * @param maxSessions maximum number of sessions in the cache directory
 * @param sampleSize number of targets sampled in addition to the holders of the prefix
 * @param maxHolders maximum number of recorded holders per session
 */
public record SchedulerSettings(int maxPrograms, int maxSessions, int sampleSize, int maxHolders) {
    /** Sized with reserve for 37,000 programs over 64 owners. */
    public static final SchedulerSettings DEFAULT = new SchedulerSettings(65_536, 131_072, 2, 4);
}
