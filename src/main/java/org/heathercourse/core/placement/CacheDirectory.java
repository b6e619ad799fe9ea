package org.heathercourse.core.placement;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which targets hold cache of which session.
 *
 * <p>Knowledge comes from own calls, which are certain when they end, and from cache events, which
 * are late and have gaps. Bounded: above the limit the session used least recently is forgotten.
 * Targets are numbered by the caller. Not safe for several threads.
 */
final class CacheDirectory {
    /** Events may be this late, so that newer knowledge from own calls overrides them. */
    static final long EVENT_LAG_MILLIS = 3_000;

    /** Holders of one session; arrays keep an entry small, as there are many sessions. */
    static final class Holders {
        private int[] mTargets = {};
        private boolean mOwn;
        private int[] mTokens = {};
        private long[] mSeenMillis = {};

        int size() {
            return mTargets.length;
        }

        int target(int i) {
            return mTargets[i];
        }

        int tokens(int i) {
            return mTokens[i];
        }

        long seenMillis(int i) {
            return mSeenMillis[i];
        }

        private int find(int target) {
            for (int i = 0; i < mTargets.length; i++) {
                if (mTargets[i] == target) {
                    return i;
                }
            }
            return -1;
        }

        private void put(int target, int tokens, long nowMillis, int maxHolders) {
            int i = find(target);
            if (i < 0) {
                i = mTargets.length < maxHolders ? grow() : oldest();
                mTargets[i] = target;
            }
            mTokens[i] = tokens;
            mSeenMillis[i] = nowMillis;
        }

        private int grow() {
            int n = mTargets.length;
            mTargets = Arrays.copyOf(mTargets, n + 1);
            mTokens = Arrays.copyOf(mTokens, n + 1);
            mSeenMillis = Arrays.copyOf(mSeenMillis, n + 1);
            return n;
        }

        private int oldest() {
            int oldest = 0;
            for (int i = 1; i < mTargets.length; i++) {
                if (mSeenMillis[i] < mSeenMillis[oldest]) {
                    oldest = i;
                }
            }
            return oldest;
        }

        private void remove(int i) {
            int last = mTargets.length - 1;
            mTargets[i] = mTargets[last];
            mTokens[i] = mTokens[last];
            mSeenMillis[i] = mSeenMillis[last];
            mTargets = Arrays.copyOf(mTargets, last);
            mTokens = Arrays.copyOf(mTokens, last);
            mSeenMillis = Arrays.copyOf(mSeenMillis, last);
        }
    }

    private static final Holders NONE = new Holders();

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

    /** Returns the holders of a session, possibly none. */
    Holders holders(String session) {
        return mSessions.getOrDefault(session, NONE);
    }

    /** Records what an own call left at a target. */
    void onCall(String session, int target, long tokens, long nowMillis) {
        Holders holders = mSessions.computeIfAbsent(session, s -> new Holders());
        holders.mOwn = true;
        holders.put(target, clamp(tokens), nowMillis, mMaxHolders);
    }

    /**
     * Records a cache event.
     *
     * @return age in milliseconds of the entry if the event took a session of own calls from the
     *     target that held most of it, else -1
     */
    long onEvent(String session, int target, long tokens, long nowMillis) {
        Holders holders = mSessions.get(session);
        int i = holders == null ? -1 : holders.find(target);
        if (i >= 0 && nowMillis - holders.seenMillis(i) < EVENT_LAG_MILLIS) {
            return -1;
        }
        if (tokens > 0) {
            mSessions
                    .computeIfAbsent(session, s -> new Holders())
                    .put(target, clamp(tokens), nowMillis, mMaxHolders);
            return -1;
        }
        return i < 0 ? -1 : drop(session, holders, i, nowMillis);
    }

    private long drop(String session, Holders holders, int i, long nowMillis) {
        boolean loss = holders.mOwn;
        for (int k = 0; k < holders.size(); k++) {
            loss &= k == i || holders.tokens(k) < holders.tokens(i);
        }
        long age = loss ? nowMillis - holders.seenMillis(i) : -1;
        holders.remove(i);
        if (holders.size() == 0) {
            mSessions.remove(session);
        }
        return age;
    }

    /** Forgets a session and returns its holders. */
    Holders remove(String session) {
        Holders removed = mSessions.remove(session);
        return removed == null ? NONE : removed;
    }

    int size() {
        return mSessions.size();
    }

    private static int clamp(long tokens) {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, tokens));
    }
}
