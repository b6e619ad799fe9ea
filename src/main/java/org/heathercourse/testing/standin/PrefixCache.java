package org.heathercourse.testing.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.time.Ticker;

/** The LRU prefix cache of an engine, which holds one conversation per session. Thread-safe. */
final class PrefixCache {
    private static final int MAX_EVENTS = 20_000;

    private final Ticker mTicker;
    private final FaultSwitches mFaults;
    private final long mCapacityTokens;
    // Ordered by last use, the least recently used session first.
    private final Map<String, Conversation> mSessions = new LinkedHashMap<>();
    private final Deque<Event> mEvents = new ArrayDeque<>();
    private long mUsedTokens;
    private long mSequence;

    /**
     * A cached conversation.
     *
     * @param hashes hash of the conversation up to and including each message
     * @param tokens token count up to and including each message
     */
    record Conversation(long[] hashes, long[] tokens) {
        long totalTokens() {
            return tokens.length == 0 ? 0 : tokens[tokens.length - 1];
        }

        /** Returns a copy with a message appended. */
        Conversation withMessage(long hash, long addedTokens) {
            long[] newHashes = Arrays.copyOf(hashes, hashes.length + 1);
            long[] newTokens = Arrays.copyOf(tokens, tokens.length + 1);
            newHashes[hashes.length] = hash;
            newTokens[tokens.length] = totalTokens() + addedTokens;
            return new Conversation(newHashes, newTokens);
        }
    }

    /** A change of a session's cached tokens; 0 tokens after an eviction or release. */
    record Event(long sequence, long atMillis, String session, long cachedTokens) {}

    PrefixCache(Ticker ticker, FaultSwitches faults, long capacityTokens) {
        mTicker = ticker;
        mFaults = faults;
        mCapacityTokens = capacityTokens;
    }

    /** Returns the token count of the longest cached prefix and marks the session as used. */
    synchronized long touch(String session, Prompt prompt) {
        Conversation cached = mSessions.remove(session);
        if (cached != null) {
            mSessions.put(session, cached);
        }
        return matchedTokens(cached, prompt);
    }

    /** Returns the token count of the longest cached prefix; does not mark the session as used. */
    synchronized long peek(String session, Prompt prompt) {
        return matchedTokens(mSessions.get(session), prompt);
    }

    /** Caches a conversation unless it exceeds the capacity; evicts others to make room. */
    synchronized void put(String session, Conversation conversation) {
        Conversation old = mSessions.remove(session);
        mUsedTokens -= old == null ? 0 : old.totalTokens();
        if (conversation.totalTokens() > mCapacityTokens) {
            if (old != null) {
                recordEvent(session, 0);
            }
            return;
        }
        mSessions.put(session, conversation);
        mUsedTokens += conversation.totalTokens();
        recordEvent(session, conversation.totalTokens());
        Iterator<Map.Entry<String, Conversation>> oldest = mSessions.entrySet().iterator();
        while (mUsedTokens > mCapacityTokens) {
            Map.Entry<String, Conversation> evicted = oldest.next();
            mUsedTokens -= evicted.getValue().totalTokens();
            oldest.remove();
            recordEvent(evicted.getKey(), 0);
        }
    }

    /** Returns the conversation of a session, or null if it is not cached. */
    synchronized Conversation get(String session) {
        return mSessions.get(session);
    }

    /** Removes a session; returns whether it was cached. */
    synchronized boolean release(String session) {
        Conversation old = mSessions.remove(session);
        if (old == null) {
            return false;
        }
        mUsedTokens -= old.totalTokens();
        recordEvent(session, 0);
        return true;
    }

    synchronized long usedTokens() {
        return mUsedTokens;
    }

    long capacityTokens() {
        return mCapacityTokens;
    }

    synchronized List<String> sessions() {
        return new ArrayList<>(mSessions.keySet());
    }

    /** Returns the events after a sequence number whose age has reached the lag. */
    synchronized List<Event> events(long afterSequence, long lagMillis) {
        long visibleUntilMillis = mTicker.readMillis() - lagMillis;
        List<Event> events = new ArrayList<>();
        for (Event event : mEvents) {
            if (event.sequence() > afterSequence && event.atMillis() <= visibleUntilMillis) {
                events.add(event);
            }
        }
        return events;
    }

    private void recordEvent(String session, long cachedTokens) {
        mSequence++;
        if (mFaults.drawAndConsume(Fault.DROP_EVENTS)) {
            return;
        }
        mEvents.add(new Event(mSequence, mTicker.readMillis(), session, cachedTokens));
        if (mEvents.size() > MAX_EVENTS) {
            mEvents.removeFirst();
        }
    }

    private static long matchedTokens(Conversation cached, Prompt prompt) {
        if (cached == null) {
            return 0;
        }
        long[] promptHashes = prompt.prefixHashes();
        int i = 0;
        while (i < promptHashes.length
                && i < cached.hashes().length
                && promptHashes[i] == cached.hashes()[i]) {
            i++;
        }
        return i == 0 ? 0 : prompt.prefixTokens()[i - 1];
    }
}
