package org.heathercourse.daemon.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.freshness.FreshnessRules;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.PeerMessage.ConfigPush;
import org.heathercourse.daemon.peer.PeerMessage.StatusReply;
import org.heathercourse.daemon.peer.PeerMessage.StatusRequest;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.log.EventLog;

/**
 * Keeps the configuration in force up to date: polls the head row, receives pushes from peers and
 * requests their status.
 *
 * <p>The revision never decreases. Store reads run on the poll executor and may block it; listeners
 * run on the control executor. Call {@link #start()} once. Safe for use by several threads.
 */
public final class ConfigWatcher implements ConfigSource {
    private static final long POLL_PERIOD_MILLIS = 1_000;
    private static final long POLL_JITTER_MILLIS = 100;
    private static final long STATUS_TIMEOUT_MILLIS = 800;
    private static final long PUSH_TIMEOUT_MILLIS = 1_000;
    private static final int PUSH_ROUNDS = 4;

    /** Smallest number of peers at which only a subset of them is asked each second. */
    private static final int ALL_PEERS_LIMIT = 32;

    /** Peers asked each second in a larger deployment while the store is readable. */
    private static final int SAMPLE_SIZE = 8;

    private static final EventLog LOG = EventLog.of(ConfigWatcher.class);

    private final ConfigTable mConfigTable;
    private final ConfigCodec mCodec;
    private final ShardDirectory mShardDirectory;
    private final PeerNetwork mNetwork;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final ScheduledExecutorService mPollExecutor;
    private final Executor mControlExecutor;
    private final List<Consumer<DeploymentConfig>> mListeners = new CopyOnWriteArrayList<>();
    private final AtomicReference<DeploymentConfig> mCurrent =
            new AtomicReference<>(DeploymentConfig.empty());
    private final AtomicBoolean mPollPending = new AtomicBoolean();
    private final Object mLock = new Object();
    private final FreshnessRules mRules;
    private volatile ConfigPush mCachedPush;
    private volatile Freshness mFreshness = new Freshness(false, 0);

    /** Dependencies of a watcher. */
    public record Parts(
            ConfigTable rows,
            ConfigCodec codec,
            ShardDirectory shards,
            PeerNetwork network,
            Ticker ticker,
            RandomGenerator random,
            ScheduledExecutorService poll,
            Executor control) {}

    /**
     * Result of the last evaluation of the freshness rules.
     *
     * @param hasEvidence whether there is evidence that the revision in force is the latest
     * @param freshUntilNanos ticker time in nanoseconds at which that evidence expires
     */
    private record Freshness(boolean hasEvidence, long freshUntilNanos) {}

    /**
     * Creates a watcher with the empty configuration.
     *
     * @param parts dependencies; the poll executor must not share its thread with other tasks
     */
    public ConfigWatcher(Parts parts) {
        mConfigTable = parts.rows();
        mCodec = parts.codec();
        mShardDirectory = parts.shards();
        mNetwork = parts.network();
        mTicker = parts.ticker();
        mRandom = parts.random();
        mPollExecutor = parts.poll();
        mControlExecutor = parts.control();
        mRules = new FreshnessRules(mShardDirectory.self().vm(), 0);
    }

    /** Registers the request handlers and starts polling. */
    public void start() {
        registerHandlers();
        mPollExecutor.execute(this::pollAndReschedule);
    }

    /** Registers the handlers of status requests and pushes. */
    void registerHandlers() {
        mNetwork.onRequest(StatusRequest.class, this::handleStatusRequest);
        mNetwork.onRequest(ConfigPush.class, this::handlePush);
    }

    @Override
    public DeploymentConfig current() {
        return mCurrent.get();
    }

    @Override
    public boolean isFresh() {
        Freshness freshness = mFreshness;
        return freshness.hasEvidence() && freshness.freshUntilNanos() - mTicker.readNanos() >= 0;
    }

    @Override
    public void onChange(Consumer<DeploymentConfig> listener) {
        mListeners.add(listener);
    }

    /**
     * Returns whether this daemon may accept a change, which requires that a majority of the
     * daemons replied within 2 s. If the last replies are older, requests the status of all daemons
     * and blocks until a majority has replied or the requests time out.
     */
    public boolean canAcceptChange() {
        if (hasMajorityContact()) {
            return true;
        }
        MajorityRound round = new MajorityRound(requiredPeerCount());
        for (DaemonInfo peer : peers()) {
            round.confirmOnReply(peer, requestStatus(peer), 0);
        }
        round.await(STATUS_TIMEOUT_MILLIS);
        return hasMajorityContact();
    }

    private boolean hasMajorityContact() {
        synchronized (mLock) {
            updateDaemons();
            return mRules.canAcceptChange(mTicker.readNanos());
        }
    }

    private int requiredPeerCount() {
        synchronized (mLock) {
            updateDaemons();
            return mRules.majority() - 1;
        }
    }

    /**
     * Returns whether a majority of the daemons replied recently and no recent read of the store is
     * known.
     */
    public boolean isStoreDownForMajority() {
        synchronized (mLock) {
            updateDaemons();
            return mRules.isStoreDownForMajority(mTicker.readNanos());
        }
    }

    // Polling.

    private void pollAndReschedule() {
        try {
            poll();
            requestStatusOfPeers();
        } catch (RuntimeException e) {
            LOG.error("config_poll_failed", e);
        } finally {
            long delay =
                    POLL_PERIOD_MILLIS
                            - POLL_JITTER_MILLIS
                            + mRandom.nextLong(2 * POLL_JITTER_MILLIS);
            mPollExecutor.schedule(this::pollAndReschedule, delay, TimeUnit.MILLISECONDS);
        }
    }

    /** Reads the head row and, if it names a newer revision, that revision. Blocks. */
    void poll() {
        mPollPending.set(false);
        long startedNanos = mTicker.readNanos();
        try {
            long revision = mConfigTable.readHead().revision();
            if (revision > current().revision()) {
                mConfigTable.readRevision(revision).ifPresent(this::apply);
            }
            updateRules(rules -> rules.recordStoreRead(startedNanos, revision));
        } catch (HeathercourseException e) {
            LOG.warn("config_read_failed", "cause", e.getMessage());
            updateRules(rules -> {});
        }
    }

    /** Applies a configuration unless the one in force has the same or a higher revision. */
    void apply(DeploymentConfig config) {
        synchronized (mLock) {
            if (config.revision() <= mCurrent.get().revision()) {
                return;
            }
            mCurrent.set(config);
            // Submitted under the lock, so that listeners see revisions in increasing order.
            mControlExecutor.execute(() -> mListeners.forEach(listener -> listener.accept(config)));
        }
        updateRules(rules -> rules.recordAppliedRevision(config.revision()));
        LOG.info("config_applied", "revision", config.revision());
    }

    private void updateRules(Consumer<FreshnessRules> change) {
        synchronized (mLock) {
            updateDaemons();
            change.accept(mRules);
            long nowNanos = mTicker.readNanos();
            long evidenceAgeNanos = mRules.evidenceAgeNanos(nowNanos);
            mFreshness =
                    new Freshness(
                            evidenceAgeNanos >= 0,
                            nowNanos - evidenceAgeNanos + FreshnessRules.FRESH_NANOS);
        }
    }

    private void updateDaemons() {
        mRules.setDaemons(
                mShardDirectory.daemons().stream().map(DaemonInfo::vm).collect(Collectors.toSet()));
    }

    // Status of peers.

    /** Requests the status of peers; in a large deployment only of as many as are needed. */
    void requestStatusOfPeers() {
        for (DaemonInfo peer : selectPeers()) {
            requestStatus(peer);
        }
    }

    private List<DaemonInfo> selectPeers() {
        List<DaemonInfo> peers = peers();
        if (peers.size() < ALL_PEERS_LIMIT) {
            return peers;
        }
        for (int i = peers.size() - 1; i > 0; i--) {
            Collections.swap(peers, i, mRandom.nextInt(i + 1));
        }
        long storeAgeMillis;
        int majority;
        synchronized (mLock) {
            storeAgeMillis = mRules.storeAgeMillis(mTicker.readNanos());
            majority = mRules.majority();
        }
        boolean storeReadable = storeAgeMillis >= 0 && storeAgeMillis <= 2 * POLL_PERIOD_MILLIS;
        return peers.subList(0, Math.min(peers.size(), storeReadable ? SAMPLE_SIZE : majority));
    }

    private List<DaemonInfo> peers() {
        DaemonInfo self = mShardDirectory.self();
        return mShardDirectory.daemons().stream()
                .filter(daemon -> !daemon.vm().equals(self.vm()))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private CompletableFuture<StatusReply> requestStatus(DaemonInfo peer) {
        long sentNanos = mTicker.readNanos();
        StatusRequest request =
                new StatusRequest(mShardDirectory.self().vm(), current().revision());
        return mNetwork.request(peer, request, StatusReply.class, STATUS_TIMEOUT_MILLIS)
                .whenComplete(
                        (reply, failure) -> {
                            if (failure == null) {
                                handleStatus(peer, sentNanos, reply);
                            }
                        });
    }

    private void handleStatus(DaemonInfo peer, long sentNanos, StatusReply reply) {
        updateRules(
                rules ->
                        rules.recordPeerStatus(
                                peer.vm(),
                                sentNanos,
                                reply.revision(),
                                reply.storeReadAgeMillis()));
        if (reply.revision() > current().revision()) {
            triggerPoll();
        } else if (reply.revision() < current().revision()) {
            push(peer, current());
        }
    }

    private CompletionStage<StatusReply> handleStatusRequest(StatusRequest request) {
        if (request.revision() > current().revision()) {
            updateRules(rules -> rules.recordKnownRevision(request.revision()));
            triggerPoll();
        } else if (request.revision() < current().revision()) {
            peers().stream()
                    .filter(peer -> peer.vm().equals(request.from()))
                    .findFirst()
                    .ifPresent(peer -> push(peer, current()));
        }
        return CompletableFuture.completedFuture(status());
    }

    private CompletionStage<StatusReply> handlePush(ConfigPush push) {
        if (push.revision() > current().revision()) {
            apply(mCodec.readStored(push.body()).withRevision(push.revision()));
        }
        return CompletableFuture.completedFuture(status());
    }

    private StatusReply status() {
        DaemonInfo self = mShardDirectory.self();
        synchronized (mLock) {
            return new StatusReply(
                    self.vm(),
                    self.incarnation(),
                    mRules.revision(),
                    mRules.storeAgeMillis(mTicker.readNanos()),
                    self.draining());
        }
    }

    private void triggerPoll() {
        if (mPollPending.compareAndSet(false, true)) {
            mPollExecutor.execute(this::poll);
        }
    }

    // Distribution.

    private CompletableFuture<StatusReply> push(DaemonInfo peer, DeploymentConfig config) {
        long sentNanos = mTicker.readNanos();
        ConfigPush message = pushMessage(config);
        return mNetwork.request(peer, message, StatusReply.class, PUSH_TIMEOUT_MILLIS)
                .whenComplete(
                        (reply, failure) -> {
                            if (failure == null) {
                                updateRules(
                                        rules ->
                                                rules.recordPeerStatus(
                                                        peer.vm(),
                                                        sentNanos,
                                                        reply.revision(),
                                                        reply.storeReadAgeMillis()));
                            }
                        });
    }

    /**
     * Returns the push message of a configuration; it is cached, so that it is encoded once for all
     * peers.
     */
    private ConfigPush pushMessage(DeploymentConfig config) {
        ConfigPush push = mCachedPush;
        if (push == null || push.revision() != config.revision()) {
            push = new ConfigPush(config.revision(), mCodec.write(config));
            mCachedPush = push;
        }
        return push;
    }

    /**
     * Pushes a configuration to all peers, retrying those that do not confirm, and blocks until a
     * majority has applied it or the retries are used up.
     *
     * @param config the configuration
     * @return whether a majority, including this daemon, has confirmed it
     */
    boolean distribute(DeploymentConfig config) {
        Set<DaemonInfo> peers = new HashSet<>(peers());
        MajorityRound round = new MajorityRound(requiredPeerCount());
        for (int i = 0; i < PUSH_ROUNDS && !round.isReached(); i++) {
            Set<DaemonInfo> unconfirmed = round.unconfirmed(peers);
            for (DaemonInfo peer : unconfirmed) {
                round.confirmOnReply(peer, push(peer, config), config.revision());
            }
            round.await(PUSH_TIMEOUT_MILLIS);
        }
        return round.isReached();
    }
}
