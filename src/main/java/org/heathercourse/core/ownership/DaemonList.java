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
 * One observer's view of the daemons.
 *
 * <p>A daemon is dead when its heartbeat has stayed unchanged for three of its periods of the
 * observer's own ticker. Time during which the observer could not read does not count, since nobody
 * may have been able to write either, and after such a time a living daemon gets {@link
 * LeaseRules#SETTLE_MILLIS} to write. What was counted before is kept, so that a store that fails
 * again and again for short times does not put off every takeover. Identities follow incarnations:
 * a row with an incarnation older than one already seen is ignored, and a VM retired at incarnation
 * i is never listed with an incarnation up to i.
 *
 * <p>Not safe for use by several threads.
 */
public final class DaemonList {
    private final Map<VmId, Observed> mObserved = new HashMap<>();
    private final Map<VmId, Long> mNewestIncarnation = new HashMap<>();
    private final Map<VmId, Long> mRetired = new HashMap<>();
    private long mLastScanNanos;
    private long mVisibleSinceNanos;
    private boolean mScanned;

    /**
     * A row as observed.
     *
     * @param info the row
     * @param changedNanos when it last changed
     * @param unchangedNanos time counted since then
     * @param incarnationNanos when its incarnation was first seen
     */
    private record Observed(
            DaemonInfo info, long changedNanos, long unchangedNanos, long incarnationNanos) {
        Observed counting(long nanos) {
            return new Observed(info, changedNanos, unchangedNanos + nanos, incarnationNanos);
        }
    }

    /**
     * Takes in the rows of one complete scan.
     *
     * @param rows all daemon rows
     * @param nowNanos ticker time at which the scan started
     */
    public void observe(Collection<DaemonInfo> rows, long nowNanos) {
        if (!mScanned || nowNanos - mLastScanNanos > LeaseRules.MAX_SCAN_GAP_MILLIS * 1_000_000L) {
            mVisibleSinceNanos = nowNanos;
        } else {
            long sinceNanos = nowNanos - Math.max(mLastScanNanos, mVisibleSinceNanos);
            mObserved.replaceAll((vm, o) -> o.counting(Math.max(0, sinceNanos)));
        }
        mLastScanNanos = nowNanos;
        mScanned = true;
        Set<VmId> present = new HashSet<>();
        for (DaemonInfo row : rows) {
            present.add(row.vm());
            observe(row, nowNanos);
        }
        mObserved.keySet().retainAll(present);
    }

    private void observe(DaemonInfo row, long nowNanos) {
        long newest = mNewestIncarnation.merge(row.vm(), row.incarnation(), Math::max);
        if (row.incarnation() < newest) {
            return;
        }
        Observed before = mObserved.get(row.vm());
        boolean sameProcess = before != null && before.info().incarnation() == row.incarnation();
        boolean beaten = !sameProcess || before.info().heartbeat() != row.heartbeat();
        mObserved.put(
                row.vm(),
                new Observed(
                        row,
                        beaten ? nowNanos : before.changedNanos(),
                        beaten ? 0 : before.unchangedNanos(),
                        sameProcess ? before.incarnationNanos() : nowNanos));
    }

    /**
     * Notes that this observer itself could not write or read until now, so that the time since the
     * last scan does not count.
     *
     * @param nowNanos present ticker time
     */
    public void restartObservation(long nowNanos) {
        mVisibleSinceNanos = nowNanos;
    }

    /**
     * Notes that a VM was retired in the configuration or reported as gone.
     *
     * @param vm the VM
     * @param incarnation greatest incarnation that must not be listed again
     */
    public void retire(VmId vm, long incarnation) {
        mRetired.merge(vm, incarnation, Math::max);
    }

    /**
     * Returns the daemons believed alive, draining ones included.
     *
     * @param nowNanos present ticker time
     * @return the daemons in no particular order
     */
    public List<DaemonInfo> alive(long nowNanos) {
        List<DaemonInfo> alive = new ArrayList<>();
        for (Observed o : mObserved.values()) {
            if (!o.info().declaredDead() && beating(o, nowNanos) && !retired(o.info())) {
                alive.add(o.info());
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
     * @param nowNanos present ticker time
     * @return whether its row is known, was unchanged for three periods and does not declare it
     *     dead
     */
    public boolean heartbeatStopped(VmId vm, long nowNanos) {
        Observed o = mObserved.get(vm);
        return o != null && !o.info().declaredDead() && !beating(o, nowNanos);
    }

    /**
     * Returns whether a row that declares a daemon dead may be deleted.
     *
     * @param vm the VM
     * @param nowNanos present ticker time
     * @return whether it was seen for at least {@link LeaseRules#DEAD_ROW_MILLIS}
     */
    public boolean deadRowExpired(VmId vm, long nowNanos) {
        Observed o = mObserved.get(vm);
        return o != null
                && o.info().declaredDead()
                && nowNanos - o.changedNanos() >= LeaseRules.DEAD_ROW_MILLIS * 1_000_000L;
    }

    /**
     * Returns whether a process was replaced by a later one on its VM so long ago that its lease
     * has lapsed.
     *
     * @param vm the VM
     * @param incarnation incarnation of the process
     * @param nowNanos present ticker time
     * @return whether a later incarnation has been seen for at least {@link
     *     LeaseRules#LEASE_MILLIS}
     */
    public boolean replaced(VmId vm, long incarnation, long nowNanos) {
        Observed o = mObserved.get(vm);
        return o != null
                && o.info().incarnation() > incarnation
                && nowNanos - o.incarnationNanos() >= LeaseRules.LEASE_MILLIS * 1_000_000L;
    }

    private boolean retired(DaemonInfo info) {
        return info.incarnation() <= mRetired.getOrDefault(info.vm(), Long.MIN_VALUE);
    }

    private boolean beating(Observed o, long nowNanos) {
        long visibleNanos = nowNanos - mVisibleSinceNanos;
        if (visibleNanos < LeaseRules.SETTLE_MILLIS * 1_000_000L) {
            return true;
        }
        long sinceScanNanos = Math.max(0, nowNanos - Math.max(mLastScanNanos, mVisibleSinceNanos));
        long countedNanos = o.unchangedNanos() + sinceScanNanos;
        return countedNanos < LeaseRules.deadAfterMillis(o.info().periodMillis()) * 1_000_000L;
    }
}
