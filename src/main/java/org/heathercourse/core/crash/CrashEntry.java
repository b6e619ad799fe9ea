package org.heathercourse.core.crash;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * The targets that ended while they ran one request. Immutable.
 *
 * @param digest text of the request's digest
 * @param targets incarnations of the targets, sorted, without duplicates, at most {@link
 *     #MAX_TARGETS}
 * @param lastCrashMillis wall-clock time of the last crash in milliseconds since the epoch
 */
public record CrashEntry(String digest, Collection<String> targets, long lastCrashMillis) {
    /**
     * Maximum number of targets of an entry. Larger than the number of crashes until a request is
     * refused, as copies of it may be running at that moment.
     */
    static final int MAX_TARGETS = 12;

    /**
     * Sorts the targets and keeps the first ones, so that the result does not depend on the order
     * in which they were reported.
     */
    public CrashEntry {
        if (digest == null || digest.isEmpty()) {
            throw new IllegalArgumentException("a crash entry needs a digest");
        }
        targets = new TreeSet<>(targets).stream().limit(MAX_TARGETS).toList();
    }

    /** Returns an entry that also has the given crash. */
    CrashEntry withCrash(String target, long atMillis) {
        TreeSet<String> allTargets = new TreeSet<>(targets);
        allTargets.add(target);
        return new CrashEntry(digest, allTargets, Math.max(lastCrashMillis, atMillis));
    }

    /** Returns the number of targets that ended. */
    int crashCount() {
        return targets.size();
    }

    /** Returns the wall-clock time in milliseconds at which the entry expires. */
    long endMillis() {
        return lastCrashMillis
                + (isPath() ? CrashTable.PATH_EXPIRY_MILLIS : CrashTable.EXPIRY_MILLIS);
    }

    /** Returns whether the entry stands for all requests to a path. */
    boolean isPath() {
        return new RequestDigest(digest).isPath();
    }

    /** Returns an entry without the given targets, which may have none left. */
    CrashEntry withoutTargets(Collection<String> removedTargets) {
        List<String> remaining =
                targets.stream().filter(target -> !removedTargets.contains(target)).toList();
        return new CrashEntry(digest, remaining, lastCrashMillis);
    }
}
