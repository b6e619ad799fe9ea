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
 * Owns shards and keeps the logs of their programs durable.
 *
 * <p>Life cycle: {@link #builder}, {@link #start}, any use, {@link #drain} for a planned stop,
 * {@link #close}. Heartbeats, scans, flushes and snapshots run on separate executors, so that a
 * slow call to the store delays none of the others. Safe for use by several threads.
 */
public final class StateEngine implements ShardDirectory, ProgramLog, AutoCloseable {
    /** Bytes of records not yet durable beyond which new calls should be refused. */
    public static final long PENDING_LIMIT_BYTES = 64L << 20;

    private static final EventLog LOG = EventLog.of(StateEngine.class);

    private final StateSettings mSettings;
    private final Ticker mTicker;
    private final OutageDetector mEvidence;
    private final HandoverListener mListener;
    private final StoreHealth mHealth = new StoreHealth();
    private final Map<ShardId, OwnedShard> mShards = new ConcurrentHashMap<>();
    private final AtomicLong mCommitNumber = new AtomicLong();
    private final Heartbeat mHeartbeat;
    private final OwnershipLoop mOwnership;
    private final CommitLoop mCommit;
    private final ObjectChores mChores;
    private final PendingReplicator mReplicator;
    private final ReplicaStore mReplicas;
    private final Supplier<PeerNetwork> mPeers;
    private final StateTimers mTimers;
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();

    StateEngine(StateEngineBuilder b, TableStore table, ObjectStore objects) {
        mSettings = b.settings();
        mTicker = b.ticker();
        mEvidence = b.outageDetector();
        mListener = b.handoverListener();
        mTimers = new StateTimers(b.executors(), mTicker, b.random(), new Loops());
        mPeers = b.peers();
        mReplicas = new ReplicaStore(mTicker);
        mReplicator = new PendingReplicator(mPeers, mTicker, this::daemons);
        mChores = new ObjectChores(objects, mTimers);
        mHeartbeat =
                new Heartbeat(mSettings.self(), table, mTicker, mHealth, new HeartbeatContext());
        mCommit =
                new CommitLoop(table, objects, mHealth, new CommitContext(), mChores::deleteLater);
        Holdings holdings = new HeldShards(mShards, mTimers);
        Takeover takeover =
                new Takeover(
                        mSettings,
                        table,
                        mTicker,
                        new ShardLoader(table, objects),
                        new ReplicaRecovery(
                                mSettings.self(),
                                mReplicas,
                                mPeers,
                                table,
                                objects,
                                this::nextCommitId),
                        holdings,
                        this::nextCommitId);
        mOwnership = new OwnershipLoop(mSettings, table, mTicker, mHeartbeat, holdings, takeover);
    }

    /** Returns a builder. */
    public static StateEngineBuilder builder(StateSettings settings) {
        return new StateEngineBuilder(settings);
    }

    /**
     * Starts the loops. Shards are taken from about one second later on.
     *
     * @throws IllegalStateException if the engine was built without executors
     */
    public void start() {
        listen();
        mTimers.start();
    }

    /** Holds copies for other daemons from now on. */
    void listen() {
        if (mPeers != null) {
            mReplicas.listen(mPeers.get());
        }
    }

    /** Stops the loops at once, as a crash would; see {@link #drain} for a planned stop. */
    @Override
    public void close() {
        mTimers.stop();
        if (mDrained.isDone()) {
            try {
                mTimers.withoutHeartbeat(mHeartbeat::leave);
            } catch (StoreException e) {
                LOG.debug("row_not_updated", "cause", e.getMessage());
            }
        }
    }

    /**
     * Announces that this daemon leaves and releases each shard once its uses have ended.
     *
     * @return completes when no shard is held any more
     */
    public CompletableFuture<Void> drain() {
        mOwnership.drain();
        mTimers.heartbeatSoon();
        mTimers.scanSoon();
        return mDrained;
    }

    /** Reads the rows soon, for instance because a peer reported a released shard. */
    public void scanSoon() {
        mTimers.scanSoon();
    }

    /**
     * Notes that a VM was retired in the configuration.
     *
     * @param vm the VM
     * @param incarnation greatest incarnation that must not be listed again
     */
    public void retire(VmId vm, long incarnation) {
        mTimers.onControl(() -> mOwnership.retire(vm, incarnation));
    }

    /** Returns the bytes of copies held for other daemons. */
    long replicaBytes() {
        return mReplicas.bytes();
    }

    // ---- ShardDirectory

    @Override
    public DaemonInfo self() {
        return mHeartbeat.self();
    }

    @Override
    public OptionalLong fence(ShardId shard) {
        return mHeartbeat.leaseValid() ? heldFence(shard) : OptionalLong.empty();
    }

    /**
     * {@inheritDoc}
     *
     * <p>A shard changes its owner only by writes to the store. While the store is down for
     * everybody no other daemon can take the shard, so the last owner is the only one. A daemon
     * that is cut off alone cannot tell that by itself; it needs the evidence of a majority of the
     * daemons. The evidence may be wrong for a minority that still reaches the store, so the result
     * covers only work that may run twice; non-idempotent work needs a durable intent, which needs
     * the store.
     */
    @Override
    public OptionalLong fenceForIdempotentWork(ShardId shard) {
        return mHeartbeat.leaseValid() || (outage() && !mHeartbeat.replaced())
                ? heldFence(shard)
                : OptionalLong.empty();
    }

    private boolean outage() {
        return mHealth.down() && mEvidence.storeDownForMajority();
    }

    private OptionalLong heldFence(ShardId shard) {
        OwnedShard owned = mShards.get(shard);
        boolean serves =
                owned != null
                        && owned.phase() != OwnedShard.Phase.CLOSED
                        && owned.phase() != OwnedShard.Phase.LOST;
        return serves ? OptionalLong.of(owned.fence()) : OptionalLong.empty();
    }

    @Override
    public Optional<DaemonInfo> owner(ShardId shard) {
        if (heldFence(shard).isPresent()) {
            return Optional.of(self());
        }
        DaemonInfo owner = mOwnership.view().owners().get(shard);
        boolean stale = owner != null && owner.vm().equals(self().vm());
        return stale ? Optional.empty() : Optional.ofNullable(owner);
    }

    @Override
    public List<DaemonInfo> daemons() {
        List<DaemonInfo> daemons = new ArrayList<>();
        daemons.add(self());
        for (DaemonInfo daemon : mOwnership.view().daemons()) {
            if (!daemon.vm().equals(self().vm())) {
                daemons.add(daemon);
            }
        }
        return daemons;
    }

    @Override
    public Optional<Use> acquireUse(ShardId shard) {
        OwnedShard owned = mShards.get(shard);
        if (owned == null || !owned.tryUse()) {
            return Optional.empty();
        }
        AtomicBoolean open = new AtomicBoolean(true);
        return Optional.of(
                () -> {
                    if (open.getAndSet(false) && owned.endUse()) {
                        mTimers.flushSoon();
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
        List<ProgramState> held = new ArrayList<>();
        for (OwnedShard shard : mShards.values()) {
            for (ProgramState program : shard.state().programs()) {
                if (!program.ended() || !program.cacheTargets().isEmpty()) {
                    held.add(program);
                }
            }
        }
        return held;
    }

    @Override
    public CompletableFuture<Void> append(ProgramId program, List<LogRecord> records) {
        if (records.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        OwnedShard shard = mShards.get(shardOf(program));
        OwnedShard.Pending pending = null;
        try {
            if (shard != null) {
                pending = shard.append(program, records, mTicker.readMillis(), mCommit::added);
            }
        } catch (HeathercourseException e) {
            return CompletableFuture.failedFuture(e);
        }
        if (pending == null) {
            return CompletableFuture.failedFuture(CommitLoop.lost(program.value()));
        }
        mTimers.flushSoon();
        return pending.done();
    }

    /**
     * {@inheritDoc}
     *
     * <p>While the store is down, a daemon without the evidence of a majority may be cut off alone
     * and its shards may have another owner, so it copies nothing.
     */
    @Override
    public CompletableFuture<Void> replicate(ProgramId program) {
        OwnedShard shard = mShards.get(shardOf(program));
        if (shard == null) {
            return CompletableFuture.failedFuture(CommitLoop.lost(program.value()));
        }
        long upTo = shard.lastOpen(program);
        if (upTo == 0) {
            return CompletableFuture.completedFuture(null);
        }
        boolean cutOff = mHealth.down() && !mEvidence.storeDownForMajority();
        if (cutOff || fenceForIdempotentWork(shard.id()).isEmpty()) {
            return CompletableFuture.failedFuture(CommitLoop.lost(program.value()));
        }
        return mReplicator.replicate(shard, upTo);
    }

    @Override
    public boolean storeDown() {
        return mHealth.down();
    }

    @Override
    public long pendingBytes() {
        return mCommit.pendingBytes();
    }

    private ShardId shardOf(ProgramId program) {
        return ShardId.of(program, mSettings.shards());
    }

    private String nextCommitId() {
        return Heartbeat.commitPrefix(mSettings.self()) + mCommitNumber.incrementAndGet();
    }

    // ---- Steps of the loops, called by the timers and by tests

    Heartbeat.Step heartbeatStep() {
        long periodMillis = mTimers.heartbeatMillis();
        return mHeartbeat.step(periodMillis, mOwnership.draining());
    }

    boolean scanStep() {
        boolean read = mOwnership.scan();
        if (read && mOwnership.view().mayOwn() && !mHeartbeat.leaseValid()) {
            // This daemon beat rarely while it owned nothing and needs a lease to take shards.
            mTimers.heartbeatSoon();
        }
        if (read && mOwnership.drained()) {
            mDrained.complete(null);
        }
        return read;
    }

    CommitLoop.Step flushStep() {
        return mCommit.step();
    }

    /** Runs background tasks that wait because the timers were not started. */
    void backgroundStep() {
        mTimers.runWaiting();
    }

    private final class Loops implements StateTimers.Loops {
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
        public int owners() {
            return mOwnership.view().ownerCount();
        }

        @Override
        public int lastObjects() {
            return mCommit.lastObjects();
        }

        @Override
        public int daemons() {
            return mOwnership.view().daemons().size();
        }

        @Override
        public boolean ownsOrMayOwn() {
            return !mShards.isEmpty() || mOwnership.view().mayOwn();
        }
    }

    private final class HeartbeatContext implements Heartbeat.Context {
        @Override
        public String nextCommitId() {
            return StateEngine.this.nextCommitId();
        }

        @Override
        public void declaredDead() {
            mShards.values().forEach(shard -> mCommit.drop(shard, null));
        }
    }

    private final class CommitContext implements CommitLoop.Context {
        @Override
        public List<OwnedShard> shards() {
            return List.copyOf(mShards.values());
        }

        @Override
        public String nextCommitId() {
            return StateEngine.this.nextCommitId();
        }

        @Override
        public void dropped(OwnedShard shard, OwnedShard.Work release) {
            if (!mShards.remove(shard.id(), shard)) {
                return;
            }
            mReplicator.committed(shard, false);
            boolean released = release != null && release.release();
            LOG.info("shard_dropped", "shard", shard.id(), "released", released);
            if (released) {
                mListener.released(shard.id(), release.successor());
            }
            if (mOwnership.draining()) {
                mTimers.scanSoon();
            }
        }

        @Override
        public void complete(Runnable completions) {
            mTimers.complete(completions);
        }

        @Override
        public void flushed(OwnedShard shard) {
            if (shard.startCompaction(Compactor.TAIL_SEGMENTS, Compactor.TAIL_BYTES)) {
                mChores.compactLater(shard);
            }
            mReplicator.committed(shard, true);
        }
    }
}
