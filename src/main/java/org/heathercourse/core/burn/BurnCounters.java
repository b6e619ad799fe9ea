package org.heathercourse.core.burn;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.config.ObjectiveSpec;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Counts the calls of one daemon against the declared objectives.
 *
 * <p>Created once per daemon. Memory is bounded: about 2.2 KB for each of at most {@value
 * #MAX_OBJECTIVES} objectives; further objectives are not counted. Safe for use by several threads.
 */
public final class BurnCounters {
    /** Most objectives that are counted. */
    public static final int MAX_OBJECTIVES = 2_048;

    private final Object mLock = new Object();
    private Map<ObjectiveKey, ObjectiveSpec> mObjectives = Map.of();
    private final Map<ObjectiveKey, BurnSeries> mSeries = new HashMap<>();

    /**
     * Applies the declared objectives; counters of objectives that are gone are dropped.
     *
     * @param objectives the objectives in force
     */
    public void setObjectives(List<ObjectiveSpec> objectives) {
        Map<ObjectiveKey, ObjectiveSpec> byKey = new HashMap<>();
        for (ObjectiveSpec objective : objectives) {
            if (byKey.size() < MAX_OBJECTIVES) {
                byKey.put(ObjectiveKey.of(objective), objective);
            }
        }
        synchronized (mLock) {
            mObjectives = byKey;
            mSeries.keySet().retainAll(byKey.keySet());
        }
    }

    /**
     * Counts a call.
     *
     * @param service service that was called
     * @param workspace workspace that called; null if the call came without a key
     * @param latencyMillis latency of the call in milliseconds
     * @param succeeded whether the call succeeded; a failed one is bad whatever its latency
     * @param epochMillis wall-clock time of the end of the call in milliseconds
     */
    public void record(
            ServiceId service,
            WorkspaceId workspace,
            long latencyMillis,
            boolean succeeded,
            long epochMillis) {
        synchronized (mLock) {
            if (workspace != null) {
                count(new ObjectiveKey(service, workspace), latencyMillis, succeeded, epochMillis);
            }
            count(new ObjectiveKey(service, null), latencyMillis, succeeded, epochMillis);
        }
    }

    private void count(ObjectiveKey key, long latencyMillis, boolean succeeded, long epochMillis) {
        ObjectiveSpec objective = mObjectives.get(key);
        if (objective != null) {
            boolean good = succeeded && latencyMillis <= objective.latencyMillis();
            mSeries.computeIfAbsent(key, k -> new BurnSeries()).record(good, epochMillis);
        }
    }

    /** Returns the counters as they are now. */
    public BurnSnapshot snapshot() {
        synchronized (mLock) {
            Map<ObjectiveKey, BurnSeries> copies = new HashMap<>();
            mSeries.forEach((key, series) -> copies.put(key, series.copy()));
            return new BurnSnapshot(copies);
        }
    }
}
