package org.heathercourse.daemon.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.ownership.DaemonList;
import org.heathercourse.core.ownership.LeaseRules;
import org.heathercourse.core.ownership.ShardAssignment;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TableStore;

/**
 * Reads the rows of daemons and shards, takes shards and starts their release. Runs on the control
 * thread only; what others need to see is published in a {@link View}.
 */
final class OwnershipLoop {
    private static final EventLog LOG = EventLog.of(OwnershipLoop.class);

    /**
     * Shards that one daemon starts to release per scan in order to balance, so that a daemon that
     * joins does not stall the traffic of many shards at once.
     */
    private static final int MOVES_PER_SCAN = 2;

    /** What other threads see of the last scan. Immutable. */
    record View(
            List<DaemonInfo> daemons,
            Map<ShardId, DaemonInfo> owners,
            int ownerCount,
            boolean mayOwn) {
        static final View EMPTY = new View(List.of(), Map.of(), 1, true);
    }

    private final int mShards;
    private final int mMaxOwners;
    private final TableStore mTable;
    private final Ticker mTicker;
    private final Heartbeat mHeartbeat;
    private final Holdings mHoldings;
    private final Takeover mTakeover;
    private final DaemonList mList = new DaemonList();
    private final Map<VmId, Long> mRowVersions = new HashMap<>();
    private Set<VmId> mPlannedFor = Set.of();
    private Map<ShardId, VmId> mPlan = Map.of();
    private volatile View mView = View.EMPTY;
    private volatile boolean mDraining;
    private boolean mDaemonsScanned;
    private long mDaemonScanNanos;

    /** A shard row as scanned. */
    private record Seen(ShardRow row, long version) {
        static final Seen NOTHING = new Seen(ShardRow.NEW, Row.ABSENT);
    }

    OwnershipLoop(
            StateSettings settings,
            TableStore table,
            Ticker ticker,
            Heartbeat heartbeat,
            Holdings holdings,
            Takeover takeover) {
        mShards = settings.shards();
        mMaxOwners = settings.maxOwners();
        mTable = table;
        mTicker = ticker;
        mHeartbeat = heartbeat;
        mHoldings = holdings;
        mTakeover = takeover;
    }

    View view() {
        return mView;
    }

    void drain() {
        mDraining = true;
    }

    boolean draining() {
        return mDraining;
    }

    /** Returns whether this daemon is draining and holds nothing any more. */
    boolean drained() {
        VmId self = mHeartbeat.self().vm();
        boolean named = mView.owners().values().stream().anyMatch(owner -> owner.vm().equals(self));
        return mDraining && mHoldings.shards().isEmpty() && !mTakeover.loading() && !named;
    }

    /** Notes a VM retired in the configuration; called on the control thread. */
    void retire(VmId vm, long incarnation) {
        mList.retire(vm, incarnation);
    }

    /**
     * Reads the rows once and acts on them.
     *
     * @return whether the store answered
     */
    boolean scan() {
        try {
            long nowNanos = mTicker.readNanos();
            // Before takeLapsed: a lease regained during this scan must not judge others by
            // heartbeats that nobody could write until now.
            boolean leased = mHeartbeat.leaseValid();
            if (mHeartbeat.takeLapsed()) {
                mList.restartObservation(nowNanos);
            }
            // Shards first: an owner named by a shard row has written its own row before.
            Map<ShardId, Seen> shardRows = new HashMap<>();
            for (Row row : StoreRows.scan(mTable, StoreRows.SHARDS)) {
                shardRows.put(
                        StoreRows.shardOf(row), new Seen(StoreRows.shard(row), row.version()));
            }
            scanDaemons(nowNanos);
            act(shardRows, leased, nowNanos);
            return true;
        } catch (StoreException e) {
            LOG.debug("scan_failed", "cause", e.getMessage());
            return false;
        }
    }

    private void scanDaemons(long nowNanos) {
        long periodMillis = LeaseRules.daemonScanMillis(mRowVersions.size());
        // Half a scan of slack, since timers are not exact.
        long dueNanos = (periodMillis - LeaseRules.SCAN_MILLIS / 2) * 1_000_000L;
        if (mDaemonsScanned && nowNanos - mDaemonScanNanos < dueNanos) {
            return;
        }
        List<DaemonInfo> daemons = new ArrayList<>();
        Map<VmId, Long> versions = new HashMap<>();
        for (Row row : StoreRows.scan(mTable, StoreRows.DAEMONS)) {
            DaemonInfo daemon = StoreRows.daemon(row);
            daemons.add(daemon);
            versions.put(daemon.vm(), row.version());
        }
        mList.observe(daemons, nowNanos);
        mRowVersions.clear();
        mRowVersions.putAll(versions);
        mDaemonsScanned = true;
        mDaemonScanNanos = nowNanos;
    }

    private void act(Map<ShardId, Seen> shardRows, boolean leased, long nowNanos) {
        Map<VmId, DaemonInfo> alive = new HashMap<>();
        mList.alive(nowNanos).forEach(daemon -> alive.put(daemon.vm(), daemon));
        DaemonInfo self = mHeartbeat.self();
        if (mHeartbeat.leaseValid()) {
            alive.put(self.vm(), self);
        }
        Set<VmId> candidates = new HashSet<>();
        for (DaemonInfo daemon : alive.values()) {
            if (!daemon.draining() && !(mDraining && daemon.vm().equals(self.vm()))) {
                candidates.add(daemon.vm());
            }
        }
        Map<ShardId, VmId> plan = plan(candidates);
        if (leased && mHeartbeat.leaseValid()) {
            removeDead(alive.keySet(), wantedFrom(shardRows, plan), nowNanos);
            takeShards(shardRows, plan, alive.values(), nowNanos);
            releaseShards(plan);
        }
        publish(shardRows, alive, plan.containsValue(self.vm()));
        mHoldings.expire(nowNanos / 1_000_000L);
    }

    /**
     * Declares daemons dead whose heartbeat stopped. The write requires the row that was seen
     * unchanged, so it fails if the daemon has written since; only afterwards may its shards be
     * taken. To save writes only the first daemon and those that take a shard try it.
     */
    private void removeDead(Set<VmId> alive, Set<VmId> wanted, long nowNanos) {
        VmId first = alive.stream().min(Comparator.naturalOrder()).orElseThrow();
        boolean isFirst = first.equals(mHeartbeat.self().vm());
        for (VmId vm : Set.copyOf(mRowVersions.keySet())) {
            if ((isFirst || wanted.contains(vm)) && mList.heartbeatStopped(vm, nowNanos)) {
                LOG.info("daemon_dead", "vm", vm);
                mTakeover.declareDead(mList.find(vm).orElseThrow(), mRowVersions.get(vm));
            } else if (isFirst && mList.deadRowExpired(vm, nowNanos)) {
                mTakeover.deleteDaemon(vm, mRowVersions.get(vm));
            }
        }
    }

    /** Returns the owners of the shards that this daemon should have. */
    private Set<VmId> wantedFrom(Map<ShardId, Seen> shardRows, Map<ShardId, VmId> plan) {
        Set<VmId> owners = new HashSet<>();
        shardRows.forEach(
                (shard, seen) -> {
                    ShardRow content = seen.row();
                    if (content.owned() && mHeartbeat.self().vm().equals(plan.get(shard))) {
                        owners.add(new VmId(content.owner()));
                    }
                });
        return owners;
    }

    private void takeShards(
            Map<ShardId, Seen> shardRows,
            Map<ShardId, VmId> plan,
            Collection<DaemonInfo> live,
            long nowNanos) {
        VmId self = mHeartbeat.self().vm();
        for (int index = 0; index < mShards && mHeartbeat.leaseValid(); index++) {
            ShardId shard = new ShardId(index);
            if (mHoldings.holds(shard)) {
                continue;
            }
            Seen seen = shardRows.getOrDefault(shard, Seen.NOTHING);
            ShardRow content = seen.row();
            boolean own =
                    content.owner().equals(self.value())
                            && content.incarnation() == mHeartbeat.self().incarnation();
            if (own || (self.equals(plan.get(shard)) && free(content, nowNanos))) {
                take(shard, content, seen.version(), live);
            }
        }
    }

    /** One shard that cannot be loaded must not keep the others from being taken. */
    private void take(ShardId shard, ShardRow content, long version, Collection<DaemonInfo> live) {
        try {
            mTakeover.take(shard, content, version, live);
        } catch (StoreException e) {
            throw e;
        } catch (HeathercourseException e) {
            LOG.error("shard_not_loaded", e, "shard", shard);
        }
    }

    /** Returns whether a shard has no owner that may still act for it. */
    private boolean free(ShardRow row, long nowNanos) {
        if (!row.owned()) {
            return true;
        }
        VmId owner = new VmId(row.owner());
        if (mList.replaced(owner, row.incarnation(), nowNanos)) {
            return true;
        }
        boolean believedAlive =
                mList.find(owner).isPresent()
                        && !mList.heartbeatStopped(owner, nowNanos)
                        && !mList.find(owner).get().declaredDead();
        if (believedAlive) {
            return false;
        }
        // The list may be older than the shard row: only a row read now proves that the owner was
        // declared dead after it took the shard.
        Optional<DaemonInfo> now = mTable.read(StoreRows.daemonKey(owner)).map(StoreRows::daemon);
        return now.isEmpty()
                || (now.get().declaredDead() && now.get().incarnation() == row.incarnation());
    }

    /**
     * Starts to release what others should have. A release lets new calls wait until the running
     * ones have ended, so a shard with running calls is moved only if this daemon drains or holds
     * more than its bound.
     */
    private void releaseShards(Map<ShardId, VmId> plan) {
        VmId self = mHeartbeat.self().vm();
        List<OwnedShard> held = mHoldings.shards();
        int owners = Math.max(1, Math.min(mMaxOwners, mPlannedFor.size()));
        boolean overfull = held.size() > ShardAssignment.maxShardsPerOwner(mShards, owners);
        int moves = 0;
        for (OwnedShard shard : held) {
            VmId successor = plan.get(shard.id());
            boolean move = successor != null && !successor.equals(self);
            if (mDraining) {
                shard.release(successor);
            } else if (move && moves < MOVES_PER_SCAN && (overfull || shard.uses() == 0)) {
                shard.release(successor);
                moves++;
            }
        }
        mHoldings.flushNeeded();
    }

    /** The plan depends on the candidates only, so it is computed again only if they change. */
    private Map<ShardId, VmId> plan(Set<VmId> candidates) {
        if (!candidates.equals(mPlannedFor)) {
            mPlan = ShardAssignment.assign(mShards, candidates, mMaxOwners);
            mPlannedFor = Set.copyOf(candidates);
        }
        return mPlan;
    }

    private void publish(
            Map<ShardId, Seen> shardRows, Map<VmId, DaemonInfo> alive, boolean mayOwn) {
        Map<ShardId, DaemonInfo> owners = new HashMap<>();
        shardRows.forEach(
                (shard, seen) -> {
                    ShardRow content = seen.row();
                    DaemonInfo owner =
                            content.owned() ? alive.get(new VmId(content.owner())) : null;
                    if (owner != null && owner.incarnation() == content.incarnation()) {
                        owners.put(shard, owner);
                    }
                });
        int count = (int) owners.values().stream().map(DaemonInfo::vm).distinct().count();
        List<DaemonInfo> daemons = new ArrayList<>(alive.values());
        daemons.sort(Comparator.comparing(DaemonInfo::vm));
        mView = new View(List.copyOf(daemons), Map.copyOf(owners), Math.max(1, count), mayOwn);
    }
}
