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
 * Scans the rows of daemons and shards, takes over shards and starts releases. Runs on the control
 * thread only; other threads read the result of the last scan from the {@link View}.
 */
final class OwnershipLoop {
    private static final EventLog LOG = EventLog.of(OwnershipLoop.class);

    /**
     * Maximum number of shards that a daemon starts to release in one scan for load balancing, so
     * that a joining daemon does not stall the traffic of many shards at once.
     */
    private static final int MAX_MOVES_PER_SCAN = 2;

    /**
     * Result of the last scan. Immutable.
     *
     * @param daemons live daemons, ordered by VM
     * @param owners live owners of the shards
     * @param ownerCount number of distinct owners, at least 1
     * @param mayOwn whether the plan assigns shards to this daemon
     */
    record View(
            List<DaemonInfo> daemons,
            Map<ShardId, DaemonInfo> owners,
            int ownerCount,
            boolean mayOwn) {
        static final View EMPTY = new View(List.of(), Map.of(), 1, true);
    }

    private final int mShardCount;
    private final int mMaxOwners;
    private final TableStore mTable;
    private final Ticker mTicker;
    private final Heartbeat mHeartbeat;
    private final OwnedShards mOwnedShards;
    private final Takeover mTakeover;
    private final DaemonList mDaemonList = new DaemonList();
    private final Map<VmId, Long> mRowVersions = new HashMap<>();
    private Set<VmId> mPlanCandidates = Set.of();
    private Map<ShardId, VmId> mPlan = Map.of();
    private volatile View mView = View.EMPTY;
    private volatile boolean mDraining;
    private boolean mDaemonsScanned;
    private long mDaemonScanNanos;

    /** A shard row as scanned. */
    private record ScannedShard(ShardRow row, long version) {
        static final ScannedShard ABSENT = new ScannedShard(ShardRow.NEW, Row.ABSENT);
    }

    OwnershipLoop(
            StateSettings settings,
            TableStore table,
            Ticker ticker,
            Heartbeat heartbeat,
            OwnedShards ownedShards,
            Takeover takeover) {
        mShardCount = settings.shards();
        mMaxOwners = settings.maxOwners();
        mTable = table;
        mTicker = ticker;
        mHeartbeat = heartbeat;
        mOwnedShards = ownedShards;
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

    /** Returns whether this daemon is draining and owns no shard. */
    boolean drained() {
        VmId self = mHeartbeat.self().vm();
        boolean listedAsOwner =
                mView.owners().values().stream().anyMatch(owner -> owner.vm().equals(self));
        return mDraining
                && mOwnedShards.shards().isEmpty()
                && !mTakeover.loading()
                && !listedAsOwner;
    }

    /** Excludes a retired VM up to an incarnation; called on the control thread. */
    void retire(VmId vm, long incarnation) {
        mDaemonList.retire(vm, incarnation);
    }

    /**
     * Scans the rows once, and takes over and releases shards accordingly.
     *
     * @return whether the store answered
     */
    boolean scan() {
        try {
            long nowNanos = mTicker.readNanos();
            // Read before the lapse is cleared: if the lease is regained during this scan, the
            // other
            // daemons may have been unable to write heartbeats too and must not be declared dead.
            boolean leaseValidAtStart = mHeartbeat.leaseValid();
            if (mHeartbeat.getAndClearLeaseLapsed()) {
                mDaemonList.restartObservation(nowNanos);
            }
            // Shards first: the owner in a shard row wrote its daemon row before it took the shard.
            Map<ShardId, ScannedShard> shardRows = new HashMap<>();
            for (Row row : StoreRows.scan(mTable, StoreRows.SHARD_PREFIX)) {
                shardRows.put(
                        StoreRows.shardOf(row),
                        new ScannedShard(StoreRows.decodeShard(row), row.version()));
            }
            scanDaemons(nowNanos);
            applyScan(shardRows, leaseValidAtStart, nowNanos);
            return true;
        } catch (StoreException e) {
            LOG.debug("scan_failed", "cause", e.getMessage());
            return false;
        }
    }

    private void scanDaemons(long nowNanos) {
        long periodMillis = LeaseRules.daemonScanMillis(mRowVersions.size());
        // Tolerance of half a scan period, since timers are not exact.
        long minElapsedNanos = (periodMillis - LeaseRules.SCAN_MILLIS / 2) * 1_000_000L;
        if (mDaemonsScanned && nowNanos - mDaemonScanNanos < minElapsedNanos) {
            return;
        }
        List<DaemonInfo> daemons = new ArrayList<>();
        Map<VmId, Long> versions = new HashMap<>();
        for (Row row : StoreRows.scan(mTable, StoreRows.DAEMON_PREFIX)) {
            DaemonInfo daemon = StoreRows.decodeDaemon(row);
            daemons.add(daemon);
            versions.put(daemon.vm(), row.version());
        }
        mDaemonList.observe(daemons, nowNanos);
        mRowVersions.clear();
        mRowVersions.putAll(versions);
        mDaemonsScanned = true;
        mDaemonScanNanos = nowNanos;
    }

    private void applyScan(
            Map<ShardId, ScannedShard> shardRows, boolean leaseValidAtStart, long nowNanos) {
        Map<VmId, DaemonInfo> alive = new HashMap<>();
        mDaemonList.alive(nowNanos).forEach(daemon -> alive.put(daemon.vm(), daemon));
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
        if (leaseValidAtStart && mHeartbeat.leaseValid()) {
            declareDeadDaemons(alive.keySet(), ownersOfPlannedShards(shardRows, plan), nowNanos);
            takeOverShards(shardRows, plan, alive.values(), nowNanos);
            startReleases(plan);
        }
        publish(shardRows, alive, plan.containsValue(self.vm()));
        mOwnedShards.expirePrograms(nowNanos / 1_000_000L);
    }

    /**
     * Declares daemons dead whose heartbeat stopped; only afterwards may their shards be taken
     * over. The write is conditional on the observed row version, so it fails if the daemon has
     * written since. To limit writes, only the live daemon with the smallest VM name and those that
     * are to take over a shard make the attempt.
     */
    private void declareDeadDaemons(Set<VmId> alive, Set<VmId> previousOwners, long nowNanos) {
        VmId first = alive.stream().min(Comparator.naturalOrder()).orElseThrow();
        boolean isFirst = first.equals(mHeartbeat.self().vm());
        for (VmId vm : Set.copyOf(mRowVersions.keySet())) {
            if ((isFirst || previousOwners.contains(vm))
                    && mDaemonList.heartbeatStopped(vm, nowNanos)) {
                LOG.info("daemon_dead", "vm", vm);
                mTakeover.declareDead(mDaemonList.find(vm).orElseThrow(), mRowVersions.get(vm));
            } else if (isFirst && mDaemonList.deadRowExpired(vm, nowNanos)) {
                mTakeover.deleteDaemonRow(vm, mRowVersions.get(vm));
            }
        }
    }

    /** Returns the current owners of the shards that the plan assigns to this daemon. */
    private Set<VmId> ownersOfPlannedShards(
            Map<ShardId, ScannedShard> shardRows, Map<ShardId, VmId> plan) {
        Set<VmId> owners = new HashSet<>();
        shardRows.forEach(
                (shard, scanned) -> {
                    ShardRow content = scanned.row();
                    if (content.owned() && mHeartbeat.self().vm().equals(plan.get(shard))) {
                        owners.add(new VmId(content.owner()));
                    }
                });
        return owners;
    }

    private void takeOverShards(
            Map<ShardId, ScannedShard> shardRows,
            Map<ShardId, VmId> plan,
            Collection<DaemonInfo> live,
            long nowNanos) {
        VmId self = mHeartbeat.self().vm();
        for (int index = 0; index < mShardCount && mHeartbeat.leaseValid(); index++) {
            ShardId shard = new ShardId(index);
            if (mOwnedShards.contains(shard)) {
                continue;
            }
            ScannedShard scanned = shardRows.getOrDefault(shard, ScannedShard.ABSENT);
            ShardRow content = scanned.row();
            boolean heldByThisProcess =
                    content.owner().equals(self.value())
                            && content.incarnation() == mHeartbeat.self().incarnation();
            if (heldByThisProcess
                    || (self.equals(plan.get(shard)) && canTakeOver(content, nowNanos))) {
                takeOver(shard, content, scanned.version(), live);
            }
        }
    }

    /** Takes over a shard; a shard that cannot be loaded must not block the others. */
    private void takeOver(
            ShardId shard, ShardRow content, long version, Collection<DaemonInfo> live) {
        try {
            mTakeover.takeOver(shard, content, version, live);
        } catch (StoreException e) {
            throw e;
        } catch (HeathercourseException e) {
            LOG.error("shard_not_loaded", e, "shard", shard);
        }
    }

    /** Returns whether a shard has no owner that may still serve it. */
    private boolean canTakeOver(ShardRow row, long nowNanos) {
        if (!row.owned()) {
            return true;
        }
        VmId owner = new VmId(row.owner());
        if (mDaemonList.replaced(owner, row.incarnation(), nowNanos)) {
            return true;
        }
        boolean listedAlive =
                mDaemonList.find(owner).isPresent()
                        && !mDaemonList.heartbeatStopped(owner, nowNanos)
                        && !mDaemonList.find(owner).get().declaredDead();
        if (listedAlive) {
            return false;
        }
        // The list may be older than the shard row. Only the current daemon row proves that the
        // owner was declared dead after it took the shard.
        Optional<DaemonInfo> current =
                mTable.read(StoreRows.daemonKey(owner)).map(StoreRows::decodeDaemon);
        return current.isEmpty()
                || (current.get().declaredDead()
                        && current.get().incarnation() == row.incarnation());
    }

    /**
     * Starts to release shards that the plan assigns to other daemons. During a release, new calls
     * are delayed until the running ones have ended. A shard with running calls is therefore
     * released only if this daemon is draining or owns more shards than its maximum.
     */
    private void startReleases(Map<ShardId, VmId> plan) {
        VmId self = mHeartbeat.self().vm();
        List<OwnedShard> ownedShards = mOwnedShards.shards();
        int owners = Math.max(1, Math.min(mMaxOwners, mPlanCandidates.size()));
        boolean aboveMaxShards =
                ownedShards.size() > ShardAssignment.maxShardsPerOwner(mShardCount, owners);
        int moves = 0;
        for (OwnedShard shard : ownedShards) {
            VmId successor = plan.get(shard.id());
            boolean plannedElsewhere = successor != null && !successor.equals(self);
            if (mDraining) {
                shard.startRelease(successor);
            } else if (plannedElsewhere
                    && moves < MAX_MOVES_PER_SCAN
                    && (aboveMaxShards || shard.useCount() == 0)) {
                shard.startRelease(successor);
                moves++;
            }
        }
        mOwnedShards.requestFlush();
    }

    /** Returns the assignment of shards, which is recomputed only if the candidates change. */
    private Map<ShardId, VmId> plan(Set<VmId> candidates) {
        if (!candidates.equals(mPlanCandidates)) {
            mPlan = ShardAssignment.assign(mShardCount, candidates, mMaxOwners);
            mPlanCandidates = Set.copyOf(candidates);
        }
        return mPlan;
    }

    private void publish(
            Map<ShardId, ScannedShard> shardRows, Map<VmId, DaemonInfo> alive, boolean mayOwn) {
        Map<ShardId, DaemonInfo> owners = new HashMap<>();
        shardRows.forEach(
                (shard, scanned) -> {
                    ShardRow content = scanned.row();
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
