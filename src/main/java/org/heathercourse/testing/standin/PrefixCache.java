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

/**
 * The prefix cache of an engine: conversations by session, the least recently used one is evicted
 * first. Safe for use by several threads.
 */
final class PrefixCache {
    private static final int KEPT_EVENTS = 20_000;

    private final Ticker mTicker;
    private final FaultSwitches mFaults;
    private final long mCapacityTokens;
    // In the order of use, the least recently used session first.
    private final Map<String, Conversation> mSessions = new LinkedHashMap<>();
    private final Deque<Event> mEvents = new ArrayDeque<>();
    private long mUsedTokens;
    private long mSequence;

    /**
     * A cached conversation.
     *
     * @param hashes hash up to and including each message
     * @param tokens tokens up to and including each message
     */
    record Conversation(long[] hashes, long[] tokens) {
        long total() {
            return tokens.length == 0 ? 0 : tokens[tokens.length - 1];
        }

        /** Returns this conversation with one more message. */
        Conversation with(long hash, long addedTokens) {
            long[] moreHashes = Arrays.copyOf(hashes, hashes.length + 1);
            long[] moreTokens = Arrays.copyOf(tokens, tokens.length + 1);
            moreHashes[hashes.length] = hash;
            moreTokens[tokens.length] = total() + addedTokens;
            return new Conversation(moreHashes, moreTokens);
        }
    }

    /** A change of the cache. */
    record Event(long sequence, long atMillis, String session, long cachedTokens) {}

    PrefixCache(Ticker ticker, FaultSwitches faults, long capacityTokens) {
        mTicker = ticker;
        mFaults = faults;
        mCapacityTokens = capacityTokens;
    }

    /** Returns the tokens of the longest cached prefix and marks the session as used. */
    synchronized long use(String session, Prompt prompt) {
        Conversation held = mSessions.remove(session);
        if (held != null) {
            mSessions.put(session, held);
        }
        return matched(held, prompt);
    }

    /** Returns the tokens of the longest cached prefix without marking the session as used. */
    synchronized long peek(String session, Prompt prompt) {
        return matched(mSessions.get(session), prompt);
    }

    /** Holds a conversation, unless it is larger than the whole cache. */
    synchronized void put(String session, Conversation conversation) {
        Conversation old = mSessions.remove(session);
        mUsedTokens -= old == null ? 0 : old.total();
        if (conversation.total() > mCapacityTokens) {
            if (old != null) {
                event(session, 0);
            }
            return;
        }
        mSessions.put(session, conversation);
        mUsedTokens += conversation.total();
        event(session, conversation.total());
        Iterator<Map.Entry<String, Conversation>> oldest = mSessions.entrySet().iterator();
        while (mUsedTokens > mCapacityTokens) {
            Map.Entry<String, Conversation> evicted = oldest.next();
            mUsedTokens -= evicted.getValue().total();
            oldest.remove();
            event(evicted.getKey(), 0);
        }
    }

    /** Returns a conversation, or null. */
    synchronized Conversation get(String session) {
        return mSessions.get(session);
    }

    /** Releases a session; returns whether it was held. */
    synchronized boolean release(String session) {
        Conversation old = mSessions.remove(session);
        if (old == null) {
            return false;
        }
        mUsedTokens -= old.total();
        event(session, 0);
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

    /** Returns the events that are old enough to be seen. */
    synchronized List<Event> events(long afterSequence, long lagMillis) {
        long seenAtMillis = mTicker.readMillis() - lagMillis;
        List<Event> events = new ArrayList<>();
        for (Event event : mEvents) {
            if (event.sequence() > afterSequence && event.atMillis() <= seenAtMillis) {
                events.add(event);
            }
        }
        return events;
    }

    private void event(String session, long cachedTokens) {
        mSequence++;
        if (mFaults.draw(Fault.DROP_EVENTS)) {
            return;
        }
        mEvents.add(new Event(mSequence, mTicker.readMillis(), session, cachedTokens));
        if (mEvents.size() > KEPT_EVENTS) {
            mEvents.removeFirst();
        }
    }

    private static long matched(Conversation held, Prompt prompt) {
        if (held == null) {
            return 0;
        }
        long[] wanted = prompt.prefixHashes();
        int i = 0;
        while (i < wanted.length && i < held.hashes().length && wanted[i] == held.hashes()[i]) {
            i++;
        }
        return i == 0 ? 0 : prompt.prefixTokens()[i - 1];
    }
}
