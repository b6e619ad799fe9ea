package org.heathercourse.testing.bench.faults;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Counts violations and prints each to standard error. Safe for use by several threads. */
public final class Violations {
    private final Map<Promise, AtomicLong> mCounts = new EnumMap<>(Promise.class);

    /** Creates counts at zero. */
    public Violations() {
        for (Promise promise : Promise.values()) {
            mCounts.put(promise, new AtomicLong());
        }
    }

    /**
     * Counts a violation.
     *
     * @param promise the promise
     * @param details what was seen
     */
    public void add(Promise promise, String details) {
        add(promise, 1, details);
    }

    /**
     * Counts violations.
     *
     * @param promise the promise
     * @param count how many; none if 0
     * @param details what was seen
     */
    public void add(Promise promise, long count, String details) {
        if (count > 0) {
            mCounts.get(promise).addAndGet(count);
            System.err.println("violation " + promise.wireName() + " " + count + ": " + details);
        }
    }

    /** Returns a count. */
    public long get(Promise promise) {
        return mCounts.get(promise).get();
    }

    /** Returns the sum of all counts. */
    public long total() {
        return mCounts.values().stream().mapToLong(AtomicLong::get).sum();
    }

    /** Returns all counts as JSON. */
    public ObjectNode toJson() {
        ObjectNode out = new ObjectMapper().createObjectNode();
        mCounts.forEach((promise, count) -> out.put(promise.wireName(), count.get()));
        return out;
    }
}
