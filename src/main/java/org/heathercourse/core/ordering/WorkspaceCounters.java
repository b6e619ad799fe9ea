package org.heathercourse.core.ordering;

import java.util.HashMap;
import java.util.Map;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Counts the recent service of workspaces against their weighted shares.
 *
 * <p>Counters decay, so that service long ago neither helps nor harms. The lead of a workspace is
 * its service above its weighted share of what all active workspaces received. It only moves calls
 * in the order of service and never holds back a call when engines are idle (work-conserving). Not
 * safe for several threads.
 */
public final class WorkspaceCounters {
    private static final double HALF_LIFE_MILLIS = 20_000;

    private final Map<WorkspaceId, Counter> mCounters = new HashMap<>();
    private Map<WorkspaceId, Double> mWeights = Map.of();
    private double mTotal;
    private double mActiveWeight;
    private long mDecayedMillis;

    private static final class Counter {
        private double mService;
        private double mWeight;
    }

    /** Sets the weights; workspaces without one weigh 1. */
    public void setWeights(Map<WorkspaceId, Double> weights) {
        mWeights = Map.copyOf(weights);
        mCounters.forEach((id, counter) -> counter.mWeight = weightOf(id));
        recount();
    }

    /**
     * Adds service.
     *
     * @param workspace the workspace
     * @param serviceMillis service in milliseconds of an engine; negative to take back an estimate
     * @param nowMillis present time
     */
    public void add(WorkspaceId workspace, double serviceMillis, long nowMillis) {
        decay(nowMillis);
        Counter counter = mCounters.get(workspace);
        if (counter == null) {
            counter = new Counter();
            counter.mWeight = weightOf(workspace);
            mCounters.put(workspace, counter);
            mActiveWeight += counter.mWeight;
        }
        double before = counter.mService;
        counter.mService = Math.max(0, before + serviceMillis);
        mTotal += counter.mService - before;
    }

    /**
     * Returns the service of a workspace above its share, in milliseconds of an engine.
     *
     * @param workspace the workspace
     * @param nowMillis present time
     */
    public double lead(WorkspaceId workspace, long nowMillis) {
        decay(nowMillis);
        Counter counter = mCounters.get(workspace);
        if (counter == null || mActiveWeight <= 0) {
            return 0;
        }
        return counter.mService - mTotal * counter.mWeight / mActiveWeight;
    }

    /**
     * Returns the service of a workspace over its share, as a ratio; 0 for less than its share.
     *
     * @param workspace the workspace
     * @param nowMillis present time
     */
    public double excessRatio(WorkspaceId workspace, long nowMillis) {
        double lead = lead(workspace, nowMillis);
        return lead <= 0 ? 0 : lead / (mCounters.get(workspace).mService - lead);
    }

    private double weightOf(WorkspaceId workspace) {
        double weight = mWeights.getOrDefault(workspace, 1.0);
        return weight > 0 ? weight : 1.0;
    }

    private void decay(long nowMillis) {
        long elapsed = nowMillis - mDecayedMillis;
        // A step of a twentieth of the half-life changes a counter by 3.5 % at most.
        if (elapsed < HALF_LIFE_MILLIS / 20) {
            return;
        }
        mDecayedMillis = nowMillis;
        double factor = Math.pow(0.5, elapsed / HALF_LIFE_MILLIS);
        mCounters.values().forEach(counter -> counter.mService *= factor);
        mCounters.values().removeIf(counter -> counter.mService < 1);
        recount();
    }

    private void recount() {
        mTotal = 0;
        mActiveWeight = 0;
        for (Counter counter : mCounters.values()) {
            mTotal += counter.mService;
            mActiveWeight += counter.mWeight;
        }
    }
}
