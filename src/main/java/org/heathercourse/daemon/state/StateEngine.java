package org.heathercourse.daemon.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TableStore;

/**
 * Owner of shards that writes the logs of their programs to the store.
 *
 * <p>Life cycle: {@link #builder}, {@link #start}, normal operation, {@link #drain} for a planned
 * stop, {@link #close}. Heartbeats, scans, flushes and snapshots run on separate executors, so that
 * a slow store call of one does not delay the others. Thread-safe.
 */
public final class StateEngine implements ShardDirectory, ProgramLog, AutoCloseable {
    /** Size of the records that are not durable above which new calls are to be rejected. */
    public static final long PENDING_LIMIT_BYTES = 64L << 20;

    private static final EventLog LOG = EventLog.of(StateEngine.class);

    private final StateSettings mSettings;
    private final Ticker mTicker;
    private final OutageDetector mOutageDetector;
    private final HandoverListener mHandoverListener;
    private final StoreHealth mHealth = new StoreHealth();
    private final Map<ShardId, OwnedShard> mShards = new ConcurrentHashMap<>();
    private final AtomicLong mCommitNumber = new AtomicLong();
    private final Heartbeat mHeartbeat;
    private final OwnershipLoop mOwnershipLoop;
    private final CommitLoop mCommitLoop;
    private final ObjectMaintenance mMaintenance;
    private final PendingReplicator mReplicator;
    private final ReplicaStore mReplicaStore;
    private final Supplier<PeerNetwork> mPeers;
    private final StateTimers mTimers;
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();

    StateEngine(StateEngineBuilder builder, TableStore table, ObjectStore objects) {
        mSettings = builder.settings();
        mTicker = builder.ticker();
        mOutageDetector = builder.outageDetector();
        mHandoverListener = builder.handoverListener();
        mTimers = new StateTimers(builder.executors(), mTicker, builder.random(), new LoopSteps());
        mPeers = builder.peers();
        mReplicaStore = new ReplicaStore(mTicker);
        mReplicator = new PendingReplicator(mPeers, mTicker, this::daemons);
        mMaintenance = new ObjectMaintenance(objects, mTimers);
        mHeartbeat =
                new Heartbeat(
                        mSettings.self(), table, mTicker, mHealth, new EngineHeartbeatContext());
        mCommitLoop =
                new CommitLoop(
                        table,
                        objects,
                        mHealth,
                        new EngineCommitContext(),
                        mMaintenance::deleteInBackground);
        OwnedShards ownedShards = new EngineOwnedShards(mShards, mTimers);
        Takeover takeover =
                new Takeover(
                        mSettings,
                        table,
                        mTicker,
                        new ShardLoader(table, objects),
                        new ReplicaRecovery(
                                mSettings.self(),
                                mReplicaStore,
                                mPeers,
                                table,
                                objects,
                                this::nextCommitId),
                        ownedShards,
                        this::nextCommitId);
        mOwnershipLoop =
                new OwnershipLoop(mSettings, table, mTicker, mHeartbeat, ownedShards, takeover);
    }

    /** Returns a builder. */
    public static StateEngineBuilder builder(StateSettings settings) {
        return new StateEngineBuilder(settings);
    }

    /**
     * Starts the loops. The first takeovers follow about one second later.
     *
     * @throws IllegalStateException if the engine was built without executors
     */
    public void start() {
        acceptReplicas();
        mTimers.start();
    }

    /** Registers the handlers that hold replicas for other daemons. */
    void acceptReplicas() {
        if (mPeers != null) {
            mReplicaStore.registerHandlers(mPeers.get());
        }
    }

    /**
     * Stops the loops without releasing shards; see {@link #drain} for a planned stop. After a
     * completed drain, the row of this daemon is marked dead.
     */
    @Override
    public void close() {
        mTimers.stop();
        if (mDrained.isDone()) {
            try {
                mTimers.runBetweenHeartbeats(mHeartbeat::deregister);
            } catch (StoreException e) {
                LOG.debug("row_not_updated", "cause", e.getMessage());
            }
        }
    }

    /**
     * Marks this daemon as draining and releases each shard once its running calls have ended.
     *
     * @return completes when this daemon owns no shard
     */
    public CompletableFuture<Void> drain() {
        mOwnershipLoop.drain();
        mTimers.startHeartbeats();
        mTimers.requestScan();
        return mDrained;
    }

    /** Schedules an early scan, for instance because a peer reported a released shard. */
    public void requestScan() {
        mTimers.requestScan();
    }

    /**
     * Excludes a VM that was retired in the configuration from the list of daemons.
     *
     * @param vm the VM
     * @param incarnation greatest incarnation to exclude
     */
    public void retire(VmId vm, long incarnation) {
        mTimers.runOnControlThread(() -> mOwnershipLoop.retire(vm, incarnation));
    }

    /** Returns the size of the replicas held for other daemons, in bytes. */
    long replicaBytes() {
        return mReplicaStore.bytes();
    }

    // ---- ShardDirectory

    @Override
    public DaemonInfo self() {
        return mHeartbeat.self();
    }

    @Override
    public OptionalLong fence(ShardId shard) {
        return mHeartbeat.leaseValid() ? ownedFence(shard) : OptionalLong.empty();
    }

    /**
     * {@inheritDoc}
     *
     * <p>A change of owner requires a write to the store. While no daemon can reach the store, no
     * other daemon can take over the shard, so the last owner remains the only one. A single daemon
     * cannot distinguish this from a partition that affects only itself, so the outage must be
     * confirmed by a majority of the daemons. A minority may still reach the store, so the result
     * covers only idempotent work; non-idempotent work needs a durable intent, which requires the
     * store.
     */
    @Override
    public OptionalLong fenceForIdempotentWork(ShardId shard) {
        return mHeartbeat.leaseValid() || (outageConfirmed() && !mHeartbeat.replaced())
                ? ownedFence(shard)
                : OptionalLong.empty();
    }

    private boolean outageConfirmed() {
        return mHealth.down() && mOutageDetector.storeDownForMajority();
    }

    private OptionalLong ownedFence(ShardId shard) {
        OwnedShard owned = mShards.get(shard);
        boolean serves =
                owned != null
                        && owned.phase() != OwnedShard.Phase.CLOSED
                        && owned.phase() != OwnedShard.Phase.LOST;
        return serves ? OptionalLong.of(owned.fence()) : OptionalLong.empty();
    }

    @Override
    public Optional<DaemonInfo> owner(ShardId shard) {
        if (ownedFence(shard).isPresent()) {
            return Optional.of(self());
        }
        DaemonInfo owner = mOwnershipLoop.view().owners().get(shard);
        boolean stale = owner != null && owner.vm().equals(self().vm());
        return stale ? Optional.empty() : Optional.ofNullable(owner);
    }

    @Override
    public List<DaemonInfo> daemons() {
        List<DaemonInfo> daemons = new ArrayList<>();
        daemons.add(self());
        for (DaemonInfo daemon : mOwnershipLoop.view().daemons()) {
            if (!daemon.vm().equals(self().vm())) {
                daemons.add(daemon);
            }
        }
        return daemons;
    }

    @Override
    public Optional<Use> acquireUse(ShardId shard) {
        OwnedShard owned = mShards.get(shard);
        if (owned == null || !owned.tryAcquireUse()) {
            return Optional.empty();
        }
        AtomicBoolean open = new AtomicBoolean(true);
        return Optional.of(
                () -> {
                    if (open.getAndSet(false) && owned.releaseUse()) {
                        mTimers.requestFlush();
                    }
                });
    }

    // ---- ProgramLog

    @Override
    public Optional<ProgramState> find(ProgramId program) {
        OwnedShard shard = mShards.get(shardOf(program));
        return shard == null ? Optional.empty() : shard.find(program);
    }

    @Override
    public List<ProgramState> activePrograms() {
        List<ProgramState> active = new ArrayList<>();
        for (OwnedShard shard : mShards.values()) {
            for (ProgramState program : shard.state().programs()) {
                if (!program.ended() || !program.cacheTargets().isEmpty()) {
                    active.add(program);
                }
            }
        }
        return active;
    }

    @Override
    public CompletableFuture<Void> append(ProgramId program, List<LogRecord> records) {
        if (records.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        OwnedShard shard = mShards.get(shardOf(program));
        OwnedShard.PendingAppend pending = null;
        try {
            if (shard != null) {
                pending =
                        shard.append(
                                program,
                                records,
                                mTicker.readMillis(),
                                mCommitLoop::addPendingBytes);
            }
        } catch (HeathercourseException e) {
            return CompletableFuture.failedFuture(e);
        }
        if (pending == null) {
            return CompletableFuture.failedFuture(CommitLoop.ownershipLost(program.value()));
        }
        mTimers.requestFlush();
        return pending.done();
    }

    /**
     * {@inheritDoc}
     *
     * <p>If the store is down and no majority confirms the outage, this daemon may be partitioned
     * and its shards may have another owner, so nothing is replicated.
     */
    @Override
    public CompletableFuture<Void> replicate(ProgramId program) {
        OwnedShard shard = mShards.get(shardOf(program));
        if (shard == null) {
            return CompletableFuture.failedFuture(CommitLoop.ownershipLost(program.value()));
        }
        long upTo = shard.lastNonDurable(program);
        if (upTo == 0) {
            return CompletableFuture.completedFuture(null);
        }
        boolean isolated = mHealth.down() && !mOutageDetector.storeDownForMajority();
        if (isolated || fenceForIdempotentWork(shard.id()).isEmpty()) {
            return CompletableFuture.failedFuture(CommitLoop.ownershipLost(program.value()));
        }
        return mReplicator.replicate(shard, upTo);
    }

    @Override
    public boolean storeDown() {
        return mHealth.down();
    }

    @Override
    public long pendingBytes() {
        return mCommitLoop.pendingBytes();
    }

    private ShardId shardOf(ProgramId program) {
        return ShardId.of(program, mSettings.shards());
    }

    private String nextCommitId() {
        return Heartbeat.commitPrefix(mSettings.self()) + mCommitNumber.incrementAndGet();
    }

    // ---- Loop steps, called by the timers and by tests

    Heartbeat.Step heartbeatStep() {
        long periodMillis = mTimers.heartbeatPeriodMillis();
        return mHeartbeat.step(periodMillis, mOwnershipLoop.draining());
    }

    boolean scanStep() {
        boolean read = mOwnershipLoop.scan();
        if (read && mOwnershipLoop.view().mayOwn() && !mHeartbeat.leaseValid()) {
            // Without shards the heartbeat period is long, and a takeover requires a valid lease.
            mTimers.startHeartbeats();
        }
        if (read && mOwnershipLoop.drained()) {
            mDrained.complete(null);
        }
        return read;
    }

    CommitLoop.Step flushStep() {
        return mCommitLoop.step();
    }

    /** Runs the background tasks that are queued because the timers were not started. */
    void backgroundStep() {
        mTimers.runQueuedTasks();
    }

    private final class LoopSteps implements StateTimers.Steps {
        @Override
        public Heartbeat.Step heartbeat() {
            return heartbeatStep();
        }

        @Override
        public boolean scan() {
            return scanStep();
        }

        @Override
        public CommitLoop.Step flush() {
            return flushStep();
        }

        @Override
        public boolean hasWork() {
            return mShards.values().stream().anyMatch(OwnedShard::hasWork);
        }

        @Override
        public int ownerCount() {
            return mOwnershipLoop.view().ownerCount();
        }

        @Override
        public int lastObjectCount() {
            return mCommitLoop.lastObjectCount();
        }

        @Override
        public int daemonCount() {
            return mOwnershipLoop.view().daemons().size();
        }

        @Override
        public boolean ownsOrMayOwnShards() {
            return !mShards.isEmpty() || mOwnershipLoop.view().mayOwn();
        }
    }

    private final class EngineHeartbeatContext implements Heartbeat.Context {
        @Override
        public String nextCommitId() {
            return StateEngine.this.nextCommitId();
        }

        @Override
        public void onDeclaredDead() {
            mShards.values().forEach(shard -> mCommitLoop.dropShard(shard, null));
        }
    }

    private final class EngineCommitContext implements CommitLoop.Context {
        @Override
        public List<OwnedShard> shards() {
            return List.copyOf(mShards.values());
        }

        @Override
        public String nextCommitId() {
            return StateEngine.this.nextCommitId();
        }

        @Override
        public void onShardDropped(OwnedShard shard, OwnedShard.FlushWork work) {
            if (!mShards.remove(shard.id(), shard)) {
                return;
            }
            mReplicator.onCommitted(shard, false);
            boolean released = work != null && work.release();
            LOG.info("shard_dropped", "shard", shard.id(), "released", released);
            if (released) {
                mHandoverListener.released(shard.id(), work.successor());
            }
            if (mOwnershipLoop.draining()) {
                mTimers.requestScan();
            }
        }

        @Override
        public void runCompletions(Runnable completions) {
            mTimers.runCompletions(completions);
        }

        @Override
        public void onFlushed(OwnedShard shard) {
            if (shard.tryStartCompaction(Compactor.MAX_TAIL_SEGMENTS, Compactor.MAX_TAIL_BYTES)) {
                mMaintenance.compactInBackground(shard);
            }
            mReplicator.onCommitted(shard, true);
        }
    }
}
