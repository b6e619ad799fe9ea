package org.heathercourse.core.placement;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Directory of the targets that hold cached prefixes of sessions.
 *
 * <p>Its sources are the calls of this daemon, which are exact at the time they end, and cache
 * events, which arrive late and may be lost. The size is bounded: above the limit the least
 * recently used session is evicted. Targets are identified by their index in {@link TargetIndex}.
 * Not thread-safe.
 */
final class CacheDirectory {
    /** Maximum delay of cache events; entries newer than this are not changed by an event. */
    static final long MAX_EVENT_DELAY_MILLIS = 3_000;

    /** Holders of one session, kept in parallel arrays to save memory with many sessions. */
    static final class Holders {
        private int[] mTargets = {};
        private boolean mUsedByOwnCalls;
        private int[] mTokens = {};
        private long[] mObservedMillis = {};

        int size() {
            return mTargets.length;
        }

        int target(int i) {
            return mTargets[i];
        }

        int tokens(int i) {
            return mTokens[i];
        }

        long observedMillis(int i) {
            return mObservedMillis[i];
        }

        private int indexOf(int target) {
            for (int i = 0; i < mTargets.length; i++) {
                if (mTargets[i] == target) {
                    return i;
                }
            }
            return -1;
        }

        private void put(int target, int tokens, long nowMillis, int maxHolders) {
            int i = indexOf(target);
            if (i < 0) {
                i = mTargets.length < maxHolders ? append() : oldestIndex();
                mTargets[i] = target;
            }
            mTokens[i] = tokens;
            mObservedMillis[i] = nowMillis;
        }

        private int append() {
            int n = mTargets.length;
            mTargets = Arrays.copyOf(mTargets, n + 1);
            mTokens = Arrays.copyOf(mTokens, n + 1);
            mObservedMillis = Arrays.copyOf(mObservedMillis, n + 1);
            return n;
        }

        private int oldestIndex() {
            int oldest = 0;
            for (int i = 1; i < mTargets.length; i++) {
                if (mObservedMillis[i] < mObservedMillis[oldest]) {
                    oldest = i;
                }
            }
            return oldest;
        }

        private void remove(int i) {
            int last = mTargets.length - 1;
            mTargets[i] = mTargets[last];
            mTokens[i] = mTokens[last];
            mObservedMillis[i] = mObservedMillis[last];
            mTargets = Arrays.copyOf(mTargets, last);
            mTokens = Arrays.copyOf(mTokens, last);
            mObservedMillis = Arrays.copyOf(mObservedMillis, last);
        }
    }

    private static final Holders NO_HOLDERS = new Holders();

    private final int mMaxHolders;
    private final LinkedHashMap<String, Holders> mSessions;

    CacheDirectory(int maxSessions, int maxHolders) {
        mMaxHolders = maxHolders;
        mSessions =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Holders> eldest) {
                        return size() > maxSessions;
                    }
                };
    }

    /** Returns the holders of a session; empty if the session is unknown. */
    Holders holders(String session) {
        return mSessions.getOrDefault(session, NO_HOLDERS);
    }

    /** Records the tokens that a finished call of this daemon left in the cache of a target. */
    void recordCall(String session, int target, long tokens, long nowMillis) {
        Holders holders = mSessions.computeIfAbsent(session, s -> new Holders());
        holders.mUsedByOwnCalls = true;
        holders.put(target, clamp(tokens), nowMillis, mMaxHolders);
    }

    /**
     * Records a cache event of a target.
     *
     * @return age in milliseconds of the removed entry if the event evicted a session used by calls
     *     of this daemon from the target with the most cached tokens of it; otherwise -1
     */
    long recordEvent(String session, int target, long tokens, long nowMillis) {
        Holders holders = mSessions.get(session);
        int i = holders == null ? -1 : holders.indexOf(target);
        if (i >= 0 && nowMillis - holders.observedMillis(i) < MAX_EVENT_DELAY_MILLIS) {
            return -1;
        }
        if (tokens > 0) {
            mSessions
                    .computeIfAbsent(session, s -> new Holders())
                    .put(target, clamp(tokens), nowMillis, mMaxHolders);
            return -1;
        }
        return i < 0 ? -1 : removeHolder(session, holders, i, nowMillis);
    }

    private long removeHolder(String session, Holders holders, int i, long nowMillis) {
        boolean evictedLargestHolder = holders.mUsedByOwnCalls;
        for (int k = 0; k < holders.size(); k++) {
            evictedLargestHolder &= k == i || holders.tokens(k) < holders.tokens(i);
        }
        long ageMillis = evictedLargestHolder ? nowMillis - holders.observedMillis(i) : -1;
        holders.remove(i);
        if (holders.size() == 0) {
            mSessions.remove(session);
        }
        return ageMillis;
    }

    /** Removes a session and returns its former holders. */
    Holders remove(String session) {
        Holders removed = mSessions.remove(session);
        return removed == null ? NO_HOLDERS : removed;
    }

    int size() {
        return mSessions.size();
    }

    private static int clamp(long tokens) {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, tokens));
    }
}
