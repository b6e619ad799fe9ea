package org.heathercourse.core.crash;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BinaryOperator;

/** The targets that ended while they ran one request. Immutable. */
public final class CrashEntry {
    /**
     * Maximum number of crashes of an entry. Larger than the number of crashes until a request is
     * refused, as copies of it may be running at that moment.
     */
    static final int MAX_CRASHES = 12;

    private static final Comparator<Crash> LAST_RUN_LAST =
            Comparator.comparingLong(Crash::startedMillis).thenComparing(Comparator.naturalOrder());

    private final String mDigest;
    private final List<Crash> mCrashes;
    private final int mIndependentCrashCount;

    /**
     * Creates an entry.
     *
     * @param digest text of the request's digest
     * @param crashes crashes in any order. Of several ones of a target the one whose run began last
     *     is kept, and of more than {@link #MAX_CRASHES} the independent ones and then the latest
     */
    @JsonCreator
    public CrashEntry(
            @JsonProperty("digest") String digest,
            @JsonProperty("crashes") Collection<Crash> crashes) {
        if (digest == null || digest.isEmpty() || crashes == null) {
            throw new IllegalArgumentException("a crash entry needs a digest and its crashes");
        }
        mDigest = digest;
        List<Crash> distinct = lastRunOfEachTarget(crashes);
        List<Crash> independent = CrashChain.longest(distinct);
        mIndependentCrashCount = Math.min(independent.size(), MAX_CRASHES);
        mCrashes = distinct.size() <= MAX_CRASHES ? distinct : limit(distinct, independent);
    }

    private static List<Crash> lastRunOfEachTarget(Collection<Crash> crashes) {
        Map<String, Crash> latest = new HashMap<>();
        for (Crash crash : crashes) {
            latest.merge(crash.target(), crash, BinaryOperator.maxBy(LAST_RUN_LAST));
        }
        return latest.values().stream().sorted().toList();
    }

    private static List<Crash> limit(List<Crash> crashes, List<Crash> independent) {
        List<Crash> kept = new ArrayList<>(independent);
        crashes.stream()
                .filter(crash -> !independent.contains(crash))
                .sorted(Comparator.reverseOrder())
                .forEach(kept::add);
        return kept.stream().limit(MAX_CRASHES).sorted().toList();
    }

    /** Returns the text of the request's digest. */
    @JsonProperty("digest")
    public String digest() {
        return mDigest;
    }

    /** Returns the crashes in the order of time, one for each target. */
    @JsonProperty("crashes")
    public List<Crash> crashes() {
        return mCrashes;
    }

    /** Returns the identities of the targets that ended, in the order of time. */
    public List<String> targets() {
        return mCrashes.stream().map(Crash::target).toList();
    }

    /** Returns the wall-clock time of the last crash in milliseconds since the epoch. */
    public long lastCrashMillis() {
        return mCrashes.stream().mapToLong(Crash::endedMillis).max().orElse(0);
    }

    /** Returns an entry that also has the given crash. */
    CrashEntry withCrash(Crash crash) {
        List<Crash> all = new ArrayList<>(mCrashes);
        all.add(crash);
        return new CrashEntry(mDigest, all);
    }

    /** Returns the number of targets that ended. */
    int crashCount() {
        return mCrashes.size();
    }

    /**
     * Returns the number of crashes that do not prove the same: each of their runs began after the
     * crash before.
     */
    public int independentCrashCount() {
        return mIndependentCrashCount;
    }

    /** Returns the wall-clock time in milliseconds at which the entry expires. */
    long endMillis() {
        return lastCrashMillis()
                + (isPath() ? CrashTable.PATH_EXPIRY_MILLIS : CrashTable.EXPIRY_MILLIS);
    }

    /** Returns whether the entry stands for all requests to a path. */
    boolean isPath() {
        return new RequestDigest(mDigest).isPath();
    }

    /** Returns an entry without the given targets, which may have none left. */
    CrashEntry withoutTargets(Collection<String> removedTargets) {
        Set<String> removed = new HashSet<>(removedTargets);
        return new CrashEntry(
                mDigest,
                mCrashes.stream().filter(crash -> !removed.contains(crash.target())).toList());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CrashEntry entry
                && mDigest.equals(entry.mDigest)
                && mCrashes.equals(entry.mCrashes);
    }

    @Override
    public int hashCode() {
        return 31 * mDigest.hashCode() + mCrashes.hashCode();
    }

    @Override
    public String toString() {
        return "CrashEntry[" + mDigest + ", " + mCrashes + "]";
    }
}
