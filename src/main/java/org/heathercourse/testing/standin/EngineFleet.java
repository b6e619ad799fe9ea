package org.heathercourse.testing.standin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** State shared by the engines of a process: caches, cache exports and counters. Thread-safe. */
final class EngineFleet {
    private final Accounting mAccounting;
    private final WeightStandIn mWeights;
    private final List<PrefixCache> mCaches = new CopyOnWriteArrayList<>();
    private final Map<String, PrefixCache.Conversation> mExports = new ConcurrentHashMap<>();
    private final AtomicLong mNextHandle = new AtomicLong();

    EngineFleet(Accounting accounting, WeightStandIn weights) {
        mAccounting = accounting;
        mWeights = weights;
    }

    Accounting accounting() {
        return mAccounting;
    }

    WeightStandIn weights() {
        return mWeights;
    }

    void add(PrefixCache cache) {
        mCaches.add(cache);
    }

    /** Returns the token count of the longest prefix that any engine has cached. */
    long longestPrefixTokens(String session, Prompt prompt) {
        long longest = 0;
        for (PrefixCache cache : mCaches) {
            longest = Math.max(longest, cache.peek(session, prompt));
        }
        return longest;
    }

    /** Stores an exported cache until its first import; returns its handle. */
    String export(PrefixCache.Conversation conversation) {
        String handle = "kv-" + mNextHandle.incrementAndGet();
        mExports.put(handle, conversation);
        return handle;
    }

    /** Removes and returns an exported cache; null if the handle is unknown or already used. */
    PrefixCache.Conversation removeExport(String handle) {
        return mExports.remove(handle);
    }
}
