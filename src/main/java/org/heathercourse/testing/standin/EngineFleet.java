package org.heathercourse.testing.standin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** What the engines of a process share. Safe for use by several threads. */
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

    /** Returns the tokens of the longest prefix that any engine holds. */
    long longestPrefix(String session, Prompt prompt) {
        long longest = 0;
        for (PrefixCache cache : mCaches) {
            longest = Math.max(longest, cache.peek(session, prompt));
        }
        return longest;
    }

    /** Keeps an exported cache until it is imported once. */
    String export(PrefixCache.Conversation conversation) {
        String handle = "kv-" + mNextHandle.incrementAndGet();
        mExports.put(handle, conversation);
        return handle;
    }

    /** Returns an exported cache, or null. */
    PrefixCache.Conversation takeExport(String handle) {
        return mExports.remove(handle);
    }
}
