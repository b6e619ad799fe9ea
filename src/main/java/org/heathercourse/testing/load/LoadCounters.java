package org.heathercourse.testing.load;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counters of the results that callers observe. Thread-safe. */
public final class LoadCounters {
    /** Counted events; reports write their names in lower case. */
    public enum Counter {
        PROGRAMS,
        COMPLETED,
        TURNS,
        REQUESTS,
        RETRIES,
        CROSSED_ANSWERS,
        TRUNCATED_ANSWERS,
        CHANGED_ANSWERS,
        UNKNOWN_OUTCOMES,
        REFUSED_NOT_RUN,
        PENDING_ANSWERS,
        BROKEN_REQUESTS,
        RECOVERED_PROGRAMS,
        LOST_PROGRAMS,
        FAILED_PROGRAMS
    }

    private final Map<Counter, AtomicLong> mCounts = new ConcurrentHashMap<>();

    /** Creates counters with the value 0. */
    public LoadCounters() {
        for (Counter counter : Counter.values()) {
            mCounts.put(counter, new AtomicLong());
        }
    }

    /** Increments a counter. */
    public void add(Counter counter) {
        mCounts.get(counter).incrementAndGet();
    }

    /** Returns the value of a counter. */
    public long get(Counter counter) {
        return mCounts.get(counter).get();
    }

    /** Returns all values by lower-case name. */
    public Map<String, Long> all() {
        Map<String, Long> all = new LinkedHashMap<>();
        for (Counter counter : Counter.values()) {
            all.put(counter.name().toLowerCase(), get(counter));
        }
        return all;
    }
}
