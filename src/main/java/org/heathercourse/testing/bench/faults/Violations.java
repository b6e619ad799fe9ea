package org.heathercourse.testing.bench.faults;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts violations of guarantees and prints each to standard error. Safe for use by several
 * threads.
 */
public final class Violations {
    private final Map<Guarantee, AtomicLong> mCounts = new EnumMap<>(Guarantee.class);

    /** Creates counters at zero. */
    public Violations() {
        for (Guarantee guarantee : Guarantee.values()) {
            mCounts.put(guarantee, new AtomicLong());
        }
    }

    /**
     * Counts a violation.
     *
     * @param guarantee the violated guarantee
     * @param details what was observed
     */
    public void add(Guarantee guarantee, String details) {
        add(guarantee, 1, details);
    }

    /**
     * Counts violations.
     *
     * @param guarantee the violated guarantee
     * @param count number of violations; 0 adds nothing
     * @param details what was observed
     */
    public void add(Guarantee guarantee, long count, String details) {
        if (count > 0) {
            mCounts.get(guarantee).addAndGet(count);
            System.err.println(
                    "violation guarantee="
                            + guarantee.wireName()
                            + " count="
                            + count
                            + " details="
                            + details);
        }
    }

    /** Returns the number of violations of a guarantee. */
    public long get(Guarantee guarantee) {
        return mCounts.get(guarantee).get();
    }

    /** Returns the number of violations of all guarantees. */
    public long total() {
        return mCounts.values().stream().mapToLong(AtomicLong::get).sum();
    }

    /** Returns the number of violations by guarantee as JSON. */
    public ObjectNode toJson() {
        ObjectNode out = new ObjectMapper().createObjectNode();
        mCounts.forEach((guarantee, count) -> out.put(guarantee.wireName(), count.get()));
        return out;
    }
}
