package org.heathercourse.core.crash;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The requests that ran on targets when these ended, and those of them that are quarantined because
 * they crash targets. Immutable and safe for use by several threads.
 *
 * <p>Load pattern: a request that crashes each target that begins to run it comes again at any
 * gateway. All requests that ran on the target are suspects; a sound one may be so several times. A
 * request is quarantined once it has {@link #CRASH_LIMIT} independent crashes, unless another one
 * ran in all of its crashes and in further ones, which then explains them.
 *
 * <p>Crashes are independent if the run of each began after the one before. Targets that end at the
 * same time, such as those of a rack, are one event, and no proof against what ran on them: a
 * request that crashes targets does so again when it is sent to the next one.
 *
 * <p>Crashes are recorded for the request itself and for its path. A path at which requests with
 * different bodies crash targets, and none succeeds in between, is quarantined too; crashes that
 * one request explains do not count for it.
 */
public final class CrashTable {
    /** Number of independent crashes from which a request is quarantined. */
    public static final int CRASH_LIMIT = 3;

    /** Maximum number of entries. */
    public static final int MAX_ENTRIES = 256;

    /** Maximum number of crashes of all entries, so that the table fits into a row of the store. */
    public static final int MAX_CRASHES = 360;

    /** Time in milliseconds after its last crash for which a request is remembered. */
    public static final long EXPIRY_MILLIS = 600_000;

    /**
     * Time in milliseconds after its last crash for which a path is remembered. Shorter, because
     * the quarantine of a path also refuses requests that never ran.
     */
    public static final long PATH_EXPIRY_MILLIS = 60_000;

    private static final Comparator<CrashEntry> MOST_CRASHES_THEN_LATEST_FIRST =
            Comparator.comparingInt(CrashEntry::independentCrashCount)
                    .thenComparingInt(CrashEntry::crashCount)
                    .thenComparingLong(CrashEntry::lastCrashMillis)
                    .reversed()
                    .thenComparing(CrashEntry::digest);

    /** A table without entries. */
    public static final CrashTable EMPTY = new CrashTable(List.of());

    private final Map<String, CrashEntry> mEntries;
    private final Set<String> mQuarantined;

    /**
     * Creates a table.
     *
     * @param entries entries, of which at most {@link #MAX_ENTRIES} with at most {@link
     *     #MAX_CRASHES} crashes are kept: those with the most independent crashes, then those with
     *     the most crashes, and of these the latest
     */
    @JsonCreator
    public CrashTable(@JsonProperty("entries") Collection<CrashEntry> entries) {
        mEntries = new TreeMap<>();
        int crashes = 0;
        for (CrashEntry entry : entries.stream().sorted(MOST_CRASHES_THEN_LATEST_FIRST).toList()) {
            crashes += entry.crashCount();
            if (mEntries.size() == MAX_ENTRIES || crashes > MAX_CRASHES) {
                break;
            }
            mEntries.putIfAbsent(entry.digest(), entry);
        }
        mQuarantined = chooseQuarantined(mEntries.values());
    }

    // Quarantine

    private static Set<String> chooseQuarantined(Collection<CrashEntry> entries) {
        List<CrashEntry> suspects =
                entries.stream()
                        .filter(entry -> entry.independentCrashCount() >= CRASH_LIMIT)
                        .toList();
        Set<String> quarantined = new HashSet<>();
        for (CrashEntry suspect : suspects) {
            if (suspects.stream().noneMatch(other -> explains(other, suspect))) {
                quarantined.add(suspect.digest());
            }
        }
        return Set.copyOf(quarantined);
    }

    /**
     * Returns whether a request ran in all crashes of another one and in further ones. A request
     * also explains the same crashes of a path, and a path explains none of a request.
     */
    private static boolean explains(CrashEntry entry, CrashEntry other) {
        boolean ranInAll = entry.targets().containsAll(other.targets());
        if (entry.isPath() == other.isPath()) {
            return ranInAll && entry.crashCount() > other.crashCount();
        }
        return ranInAll && other.isPath();
    }

    /** Returns whether there are no entries. */
    @JsonIgnore
    public boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Returns whether there is an entry for a request. */
    public boolean contains(RequestDigest digest) {
        return mEntries.containsKey(digest.text());
    }

    /**
     * Returns whether the table has the crash of a target while it ran a request, and the given one
     * tells nothing new: its run began no later, or after the known end of the target.
     */
    public boolean hasCrash(RequestDigest digest, Crash crash) {
        CrashEntry entry = mEntries.get(digest.text());
        return entry != null
                && entry.crashes().stream()
                        .filter(known -> known.target().equals(crash.target()))
                        .anyMatch(
                                known ->
                                        known.startedMillis() >= crash.startedMillis()
                                                || known.endedMillis() <= crash.startedMillis());
    }

    /** Returns the number of independent crashes of a request. */
    public int independentCrashCount(RequestDigest digest) {
        CrashEntry entry = mEntries.get(digest.text());
        return entry == null ? 0 : entry.independentCrashCount();
    }

    /** Returns the number of targets that ended while they ran a request. */
    public int crashCount(RequestDigest digest) {
        CrashEntry entry = mEntries.get(digest.text());
        return entry == null ? 0 : entry.crashCount();
    }

    /**
     * Returns whether a request must not be sent to targets. Entries that have expired since the
     * table was made count too; see {@link #quarantineEndMillis}.
     */
    public boolean isQuarantined(RequestDigest digest) {
        return mQuarantined.contains(digest.text());
    }

    /**
     * Returns the wall-clock time in milliseconds since the epoch at which the quarantine of a
     * request ends, or 0 if it is not quarantined.
     */
    public long quarantineEndMillis(RequestDigest digest) {
        return isQuarantined(digest) ? mEntries.get(digest.text()).endMillis() : 0;
    }

    /** Returns the digests of the requests that are quarantined. */
    public Set<String> quarantinedDigests() {
        return mQuarantined;
    }

    /** Returns the entries in the order of their digests. */
    @JsonProperty("entries")
    public List<CrashEntry> entries() {
        return List.copyOf(mEntries.values());
    }

    // Changes

    /**
     * Returns a table that also has a crash.
     *
     * @param digest the request
     * @param crash the crash; a target's process counts once
     */
    public CrashTable withCrash(RequestDigest digest, Crash crash) {
        CrashEntry entry = mEntries.get(digest.text());
        CrashEntry base = entry == null ? new CrashEntry(digest.text(), List.of()) : entry;
        Map<String, CrashEntry> entries = new TreeMap<>(mEntries);
        entries.put(digest.text(), base.withCrash(crash));
        return new CrashTable(entries.values());
    }

    /** Returns a table without the crashes of a request, which succeeded or was cleared. */
    public CrashTable withoutDigest(RequestDigest digest) {
        if (!contains(digest)) {
            return this;
        }
        Map<String, CrashEntry> entries = new TreeMap<>(mEntries);
        entries.remove(digest.text());
        return new CrashTable(entries.values());
    }

    /**
     * Returns a table without the crashes of a request that an earlier table has.
     *
     * @param digest the request, which succeeded or was cleared after those crashes
     * @param known table with the crashes that are removed
     */
    public CrashTable withoutKnownCrashes(RequestDigest digest, CrashTable known) {
        CrashEntry knownEntry = known.mEntries.get(digest.text());
        CrashEntry entry = mEntries.get(digest.text());
        if (knownEntry == null || entry == null) {
            return this;
        }
        CrashTable without = withoutDigest(digest);
        CrashEntry remaining = entry.withoutTargets(knownEntry.targets());
        if (remaining.crashCount() == 0) {
            return without;
        }
        List<CrashEntry> entries = new ArrayList<>(without.mEntries.values());
        entries.add(remaining);
        return new CrashTable(entries);
    }

    /**
     * Returns a table without the entries that have expired. Crashes that an expired quarantined
     * request explained are removed from the other entries too: otherwise a sound request would be
     * quarantined as soon as the request that explains its crashes expires.
     *
     * @param nowMillis wall-clock time in milliseconds since the epoch
     */
    public CrashTable withoutExpired(long nowMillis) {
        List<CrashEntry> expired =
                mEntries.values().stream().filter(e -> e.endMillis() <= nowMillis).toList();
        if (expired.isEmpty()) {
            return this;
        }
        Set<String> explainedTargets = new HashSet<>();
        expired.stream()
                .filter(entry -> mQuarantined.contains(entry.digest()))
                .forEach(entry -> explainedTargets.addAll(entry.targets()));
        return new CrashTable(
                mEntries.values().stream()
                        .filter(entry -> entry.endMillis() > nowMillis)
                        .map(entry -> withoutExplained(entry, explainedTargets))
                        .filter(entry -> entry.crashCount() > 0)
                        .toList());
    }

    private CrashEntry withoutExplained(CrashEntry entry, Set<String> explainedTargets) {
        return mQuarantined.contains(entry.digest())
                ? entry
                : entry.withoutTargets(explainedTargets);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CrashTable table && mEntries.equals(table.mEntries);
    }

    @Override
    public int hashCode() {
        return mEntries.hashCode();
    }

    @Override
    public String toString() {
        return "CrashTable" + mEntries.values();
    }
}
