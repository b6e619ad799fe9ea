package org.heathercourse.core.ordering;

import java.util.HashMap;
import java.util.Map;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Recent service of workspaces, compared with their weighted shares.
 *
 * <p>Counters decay exponentially, so old service has no effect. The excess of a workspace is its
 * service above its weighted share of the service of all active workspaces. Ordering by the excess
 * is work-conserving: it changes the order of calls but delays none while engines are idle. Not
 * thread-safe.
 */
public final class WorkspaceServiceCounters {
    private static final double HALF_LIFE_MILLIS = 20_000;

    private final Map<WorkspaceId, Counter> mCounters = new HashMap<>();
    private Map<WorkspaceId, Double> mWeights = Map.of();
    private double mTotalServiceMillis;
    private double mActiveWeight;
    private long mLastDecayMillis;

    private static final class Counter {
        private double mServiceMillis;
        private double mWeight;
    }

    /** Sets the weights of workspaces; the default weight is 1. */
    public void setWeights(Map<WorkspaceId, Double> weights) {
        mWeights = Map.copyOf(weights);
        mCounters.forEach((id, counter) -> counter.mWeight = weightOf(id));
        recomputeTotals();
    }

    /**
     * Adds service of a workspace.
     *
     * @param workspace workspace that received the service
     * @param serviceMillis service in milliseconds of an engine; negative values correct an earlier
     *     estimate
     * @param nowMillis current time
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
        double before = counter.mServiceMillis;
        counter.mServiceMillis = Math.max(0, before + serviceMillis);
        mTotalServiceMillis += counter.mServiceMillis - before;
    }

    /**
     * Returns the service of a workspace above its share, in milliseconds of an engine; negative
     * below the share.
     *
     * @param workspace workspace to look up
     * @param nowMillis current time
     */
    public double excessMillis(WorkspaceId workspace, long nowMillis) {
        decay(nowMillis);
        Counter counter = mCounters.get(workspace);
        if (counter == null || mActiveWeight <= 0) {
            return 0;
        }
        return counter.mServiceMillis - mTotalServiceMillis * counter.mWeight / mActiveWeight;
    }

    /**
     * Returns the service of a workspace above its share, divided by the share; 0 below the share.
     *
     * @param workspace workspace to look up
     * @param nowMillis current time
     */
    public double excessRatio(WorkspaceId workspace, long nowMillis) {
        double excessMillis = excessMillis(workspace, nowMillis);
        return excessMillis <= 0
                ? 0
                : excessMillis / (mCounters.get(workspace).mServiceMillis - excessMillis);
    }

    private double weightOf(WorkspaceId workspace) {
        double weight = mWeights.getOrDefault(workspace, 1.0);
        return weight > 0 ? weight : 1.0;
    }

    private void decay(long nowMillis) {
        long elapsed = nowMillis - mLastDecayMillis;
        // Decaying at steps of a twentieth of the half-life causes an error of at most 3.5 %.
        if (elapsed < HALF_LIFE_MILLIS / 20) {
            return;
        }
        mLastDecayMillis = nowMillis;
        double factor = Math.pow(0.5, elapsed / HALF_LIFE_MILLIS);
        mCounters.values().forEach(counter -> counter.mServiceMillis *= factor);
        mCounters.values().removeIf(counter -> counter.mServiceMillis < 1);
        recomputeTotals();
    }

    private void recomputeTotals() {
        mTotalServiceMillis = 0;
        mActiveWeight = 0;
        for (Counter counter : mCounters.values()) {
            mTotalServiceMillis += counter.mServiceMillis;
            mActiveWeight += counter.mWeight;
        }
    }
}
