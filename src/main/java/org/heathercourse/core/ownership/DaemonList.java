package org.heathercourse.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.heathercourse.core.model.VmId;

/**
 * The live and dead daemons as seen by one observer.
 *
 * <p>A daemon is dead when its heartbeat has not changed for three of its periods, measured with
 * the observer's own ticker. Time during which the observer could not read the store is not
 * counted, because daemons may have been unable to write as well. After such an outage a live
 * daemon has {@link LeaseRules#SETTLE_MILLIS} to write. Time counted before the outage is kept, so
 * that repeated short outages of the store do not postpone takeovers indefinitely. A row with an
 * incarnation older than one already seen is ignored, and a VM retired at incarnation i is never
 * listed with an incarnation up to i.
 *
 * <p>Not safe for use by several threads.
 */
public final class DaemonList {
    private final Map<VmId, Observed> mObserved = new HashMap<>();
    private final Map<VmId, Long> mNewestIncarnation = new HashMap<>();
    private final Map<VmId, Long> mRetired = new HashMap<>();
    private long mLastScanNanos;
    private long mReadableSinceNanos;
    private boolean mHasScanned;

    /**
     * A row with the times of its observation.
     *
     * @param info the row
     * @param changedNanos ticker time at which a change of the heartbeat was last seen
     * @param unchangedNanos time in nanoseconds that was counted since then
     * @param incarnationNanos ticker time at which the incarnation was first seen
     */
    private record Observed(
            DaemonInfo info, long changedNanos, long unchangedNanos, long incarnationNanos) {
        Observed withAddedUnchangedTime(long nanos) {
            return new Observed(info, changedNanos, unchangedNanos + nanos, incarnationNanos);
        }
    }

    /**
     * Records the rows of one complete scan.
     *
     * @param rows all daemon rows
     * @param nowNanos ticker time at which the scan started
     */
    public void observe(Collection<DaemonInfo> rows, long nowNanos) {
        if (!mHasScanned
                || nowNanos - mLastScanNanos > LeaseRules.MAX_SCAN_GAP_MILLIS * 1_000_000L) {
            mReadableSinceNanos = nowNanos;
        } else {
            long sinceNanos = nowNanos - Math.max(mLastScanNanos, mReadableSinceNanos);
            mObserved.replaceAll(
                    (vm, observed) -> observed.withAddedUnchangedTime(Math.max(0, sinceNanos)));
        }
        mLastScanNanos = nowNanos;
        mHasScanned = true;
        Set<VmId> present = new HashSet<>();
        for (DaemonInfo row : rows) {
            present.add(row.vm());
            observe(row, nowNanos);
        }
        mObserved.keySet().retainAll(present);
    }

    private void observe(DaemonInfo row, long nowNanos) {
        long newestIncarnation = mNewestIncarnation.merge(row.vm(), row.incarnation(), Math::max);
        if (row.incarnation() < newestIncarnation) {
            return;
        }
        Observed previous = mObserved.get(row.vm());
        boolean sameProcess =
                previous != null && previous.info().incarnation() == row.incarnation();
        boolean heartbeatChanged = !sameProcess || previous.info().heartbeat() != row.heartbeat();
        mObserved.put(
                row.vm(),
                new Observed(
                        row,
                        heartbeatChanged ? nowNanos : previous.changedNanos(),
                        heartbeatChanged ? 0 : previous.unchangedNanos(),
                        sameProcess ? previous.incarnationNanos() : nowNanos));
    }

    /**
     * Records that this observer could not read or write until now, so that the time since the last
     * scan is not counted.
     *
     * @param nowNanos current ticker time
     */
    public void restartObservation(long nowNanos) {
        mReadableSinceNanos = nowNanos;
    }

    /**
     * Records that a VM was retired in the configuration or removed from the deployment.
     *
     * @param vm the VM
     * @param incarnation highest incarnation that must not be listed again
     */
    public void retire(VmId vm, long incarnation) {
        mRetired.merge(vm, incarnation, Math::max);
    }

    /**
     * Returns the daemons that are not known to be dead, including draining ones.
     *
     * @param nowNanos current ticker time
     * @return the daemons in no particular order
     */
    public List<DaemonInfo> alive(long nowNanos) {
        List<DaemonInfo> alive = new ArrayList<>();
        for (Observed observed : mObserved.values()) {
            if (!observed.info().declaredDead()
                    && isHeartbeatCurrent(observed, nowNanos)
                    && !isRetired(observed.info())) {
                alive.add(observed.info());
            }
        }
        return alive;
    }

    /**
     * Returns the row of a daemon, dead or alive.
     *
     * @param vm the VM
     * @return the row as last seen
     */
    public Optional<DaemonInfo> find(VmId vm) {
        return Optional.ofNullable(mObserved.get(vm)).map(Observed::info);
    }

    /**
     * Returns whether the heartbeat of a daemon has stopped.
     *
     * @param vm the VM
     * @param nowNanos current ticker time
     * @return whether the row is known, its heartbeat has not changed for three periods, and it
     *     does not declare the daemon dead
     */
    public boolean heartbeatStopped(VmId vm, long nowNanos) {
        Observed observed = mObserved.get(vm);
        return observed != null
                && !observed.info().declaredDead()
                && !isHeartbeatCurrent(observed, nowNanos);
    }

    /**
     * Returns whether a row that declares a daemon dead may be deleted.
     *
     * @param vm the VM
     * @param nowNanos current ticker time
     * @return whether the row has been seen for at least {@link LeaseRules#DEAD_ROW_MILLIS}
     */
    public boolean deadRowExpired(VmId vm, long nowNanos) {
        Observed observed = mObserved.get(vm);
        return observed != null
                && observed.info().declaredDead()
                && nowNanos - observed.changedNanos() >= LeaseRules.DEAD_ROW_MILLIS * 1_000_000L;
    }

    /**
     * Returns whether a later process on the same VM replaced a process so long ago that the lease
     * of the replaced process has expired.
     *
     * @param vm the VM
     * @param incarnation incarnation of the replaced process
     * @param nowNanos current ticker time
     * @return whether a later incarnation has been seen for at least {@link
     *     LeaseRules#LEASE_MILLIS}
     */
    public boolean replaced(VmId vm, long incarnation, long nowNanos) {
        Observed observed = mObserved.get(vm);
        return observed != null
                && observed.info().incarnation() > incarnation
                && nowNanos - observed.incarnationNanos() >= LeaseRules.LEASE_MILLIS * 1_000_000L;
    }

    private boolean isRetired(DaemonInfo info) {
        return info.incarnation() <= mRetired.getOrDefault(info.vm(), Long.MIN_VALUE);
    }

    private boolean isHeartbeatCurrent(Observed observed, long nowNanos) {
        long readableNanos = nowNanos - mReadableSinceNanos;
        if (readableNanos < LeaseRules.SETTLE_MILLIS * 1_000_000L) {
            return true;
        }
        long sinceScanNanos = Math.max(0, nowNanos - Math.max(mLastScanNanos, mReadableSinceNanos));
        long countedNanos = observed.unchangedNanos() + sinceScanNanos;
        return countedNanos
                < LeaseRules.deadAfterMillis(observed.info().periodMillis()) * 1_000_000L;
    }
}
