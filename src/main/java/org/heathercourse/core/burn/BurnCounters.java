package org.heathercourse.core.burn;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.config.ObjectiveSpec;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Counts the good and bad calls of one daemon for each declared objective.
 *
 * <p>Created once per daemon. Memory use is bounded: about 2.2 KB for each of at most {@value
 * #MAX_OBJECTIVES} objectives; further objectives are not counted. Safe for use by several threads.
 */
public final class BurnCounters {
    /** Maximum number of counted objectives. */
    public static final int MAX_OBJECTIVES = 2_048;

    private final Object mLock = new Object();
    private Map<ObjectiveKey, ObjectiveSpec> mObjectives = Map.of();
    private final Map<ObjectiveKey, BurnSeries> mSeriesByKey = new HashMap<>();

    /**
     * Sets the declared objectives and removes the counters of all others.
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
            mSeriesByKey.keySet().retainAll(byKey.keySet());
        }
    }

    /**
     * Counts a call.
     *
     * @param service service that was called
     * @param workspace workspace of the caller; null if the call had no key
     * @param latencyMillis latency of the call in milliseconds
     * @param succeeded whether the call succeeded; a failed call is bad regardless of its latency
     * @param epochMillis wall-clock time of the end of the call in milliseconds since the epoch
     */
    public void record(
            ServiceId service,
            WorkspaceId workspace,
            long latencyMillis,
            boolean succeeded,
            long epochMillis) {
        synchronized (mLock) {
            if (workspace != null) {
                countCall(
                        new ObjectiveKey(service, workspace),
                        latencyMillis,
                        succeeded,
                        epochMillis);
            }
            countCall(new ObjectiveKey(service, null), latencyMillis, succeeded, epochMillis);
        }
    }

    private void countCall(
            ObjectiveKey key, long latencyMillis, boolean succeeded, long epochMillis) {
        ObjectiveSpec objective = mObjectives.get(key);
        if (objective != null) {
            boolean good = succeeded && latencyMillis <= objective.latencyMillis();
            mSeriesByKey.computeIfAbsent(key, k -> new BurnSeries()).record(good, epochMillis);
        }
    }

    /** Returns a copy of the counters. */
    public BurnSnapshot snapshot() {
        synchronized (mLock) {
            Map<ObjectiveKey, BurnSeries> copies = new HashMap<>();
            mSeriesByKey.forEach((key, series) -> copies.put(key, series.copy()));
            return new BurnSnapshot(copies);
        }
    }
}
