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
 * Keeps the configuration in force: polls the head, takes pushes and asks peers for their status.
 *
 * <p>The revision never decreases. Reads of the store run on the poll executor, which they may
 * block; listeners run on the control executor. Call {@link #start()} once. Safe for use by several
 * threads.
 */
public final class ConfigWatcher implements ConfigSource {
    private static final long PERIOD_MILLIS = 1_000;
    private static final long JITTER_MILLIS = 100;
    private static final long STATUS_TIMEOUT_MILLIS = 800;
    private static final long PUSH_TIMEOUT_MILLIS = 1_000;
    private static final int PUSH_ROUNDS = 4;

    /** Up to this number of daemons all of them are asked each second. */
    private static final int ASK_ALL_LIMIT = 32;

    /** Peers asked each second in a larger fleet while the store can be read. */
    private static final int SAMPLE = 8;

    private static final EventLog LOG = EventLog.of(ConfigWatcher.class);

    private final ConfigTable mRows;
    private final ConfigCodec mCodec;
    private final ShardDirectory mShards;
    private final PeerNetwork mNetwork;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final ScheduledExecutorService mPoll;
    private final Executor mControl;
    private final List<Consumer<DeploymentConfig>> mListeners = new CopyOnWriteArrayList<>();
    private final AtomicReference<DeploymentConfig> mCurrent =
            new AtomicReference<>(DeploymentConfig.empty());
    private final AtomicBoolean mPollSoon = new AtomicBoolean();
    private final Object mLock = new Object();
    private final FreshnessRules mRules;
    private volatile ConfigPush mLastPush;
    private volatile Cached mCached = new Cached(false, 0);

    /** Collects the parts that a watcher works with. */
    public record Parts(
            ConfigTable rows,
            ConfigCodec codec,
            ShardDirectory shards,
            PeerNetwork network,
            Ticker ticker,
            RandomGenerator random,
            ScheduledExecutorService poll,
            Executor control) {}

    /** Until when the configuration is fresh on the present evidence. */
    private record Cached(boolean known, long freshUntilNanos) {}

    /**
     * Creates a watcher with the empty configuration.
     *
     * @param parts what it works with; the poll executor has a thread of its own
     */
    public ConfigWatcher(Parts parts) {
        mRows = parts.rows();
        mCodec = parts.codec();
        mShards = parts.shards();
        mNetwork = parts.network();
        mTicker = parts.ticker();
        mRandom = parts.random();
        mPoll = parts.poll();
        mControl = parts.control();
        mRules = new FreshnessRules(mShards.self().vm(), 0);
    }

    /** Registers the handlers and starts to poll. */
    public void start() {
        register();
        mPoll.execute(this::pollAndReschedule);
    }

    /** Registers the handlers of requests. */
    void register() {
        mNetwork.onRequest(StatusRequest.class, this::onStatus);
        mNetwork.onRequest(ConfigPush.class, this::onPush);
    }

    @Override
    public DeploymentConfig current() {
        return mCurrent.get();
    }

    @Override
    public boolean isFresh() {
        Cached cached = mCached;
        return cached.known() && cached.freshUntilNanos() - mTicker.readNanos() >= 0;
    }

    @Override
    public void onChange(Consumer<DeploymentConfig> listener) {
        mListeners.add(listener);
    }

    /**
     * Returns whether this daemon may accept a change: a majority of the daemons answered within 2
     * s. Asks all of them and blocks for their replies if the last replies are older.
     */
    public boolean canAcceptChange() {
        if (majorityInContact()) {
            return true;
        }
        MajorityRound round = new MajorityRound(neededPeers());
        for (DaemonInfo peer : peers()) {
            round.track(peer, ask(peer), 0);
        }
        round.await(STATUS_TIMEOUT_MILLIS);
        return majorityInContact();
    }

    private boolean majorityInContact() {
        synchronized (mLock) {
            updateListed();
            return mRules.canAcceptChange(mTicker.readNanos());
        }
    }

    private int neededPeers() {
        synchronized (mLock) {
            updateListed();
            return mRules.majority() - 1;
        }
    }

    /** Returns whether a majority of the daemons answered lately and none can read the store. */
    public boolean isStoreDownForMajority() {
        synchronized (mLock) {
            updateListed();
            return mRules.isStoreDownForMajority(mTicker.readNanos());
        }
    }

    // Polling.

    private void pollAndReschedule() {
        try {
            poll();
            askPeers();
        } catch (RuntimeException e) {
            LOG.error("config_poll_failed", e);
        } finally {
            long delay = PERIOD_MILLIS - JITTER_MILLIS + mRandom.nextLong(2 * JITTER_MILLIS);
            mPoll.schedule(this::pollAndReschedule, delay, TimeUnit.MILLISECONDS);
        }
    }

    /** Reads the head and, if it is newer, its revision. Blocks. */
    void poll() {
        mPollSoon.set(false);
        long started = mTicker.readNanos();
        try {
            long revision = mRows.readHead().revision();
            if (revision > current().revision()) {
                mRows.readRevision(revision).ifPresent(this::apply);
            }
            update(rules -> rules.recordStoreRead(started, revision));
        } catch (HeathercourseException e) {
            LOG.warn("config_read_failed", "cause", e.getMessage());
            update(rules -> {});
        }
    }

    /** Applies a configuration unless it is older than the one in force. */
    void apply(DeploymentConfig config) {
        synchronized (mLock) {
            if (config.revision() <= mCurrent.get().revision()) {
                return;
            }
            mCurrent.set(config);
            // In order: listeners see revisions rising because the executor keeps the order.
            mControl.execute(() -> mListeners.forEach(listener -> listener.accept(config)));
        }
        update(rules -> rules.recordAppliedRevision(config.revision()));
        LOG.info("config_applied", "revision", config.revision());
    }

    private void update(Consumer<FreshnessRules> change) {
        synchronized (mLock) {
            updateListed();
            change.accept(mRules);
            long now = mTicker.readNanos();
            long age = mRules.evidenceAgeNanos(now);
            mCached = new Cached(age >= 0, now - age + FreshnessRules.FRESH_NANOS);
        }
    }

    private void updateListed() {
        mRules.setDaemons(
                mShards.daemons().stream().map(DaemonInfo::vm).collect(Collectors.toSet()));
    }

    // Status of peers.

    /** Asks peers for their status; in a large fleet only as many as are needed. */
    void askPeers() {
        for (DaemonInfo peer : peersToAsk()) {
            ask(peer);
        }
    }

    private List<DaemonInfo> peersToAsk() {
        List<DaemonInfo> peers = peers();
        if (peers.size() < ASK_ALL_LIMIT) {
            return peers;
        }
        for (int i = peers.size() - 1; i > 0; i--) {
            Collections.swap(peers, i, mRandom.nextInt(i + 1));
        }
        long age;
        int majority;
        synchronized (mLock) {
            age = mRules.storeAgeMillis(mTicker.readNanos());
            majority = mRules.majority();
        }
        boolean storeReadable = age >= 0 && age <= 2 * PERIOD_MILLIS;
        return peers.subList(0, Math.min(peers.size(), storeReadable ? SAMPLE : majority));
    }

    private List<DaemonInfo> peers() {
        DaemonInfo self = mShards.self();
        return mShards.daemons().stream()
                .filter(daemon -> !daemon.vm().equals(self.vm()))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private CompletableFuture<StatusReply> ask(DaemonInfo peer) {
        long sent = mTicker.readNanos();
        StatusRequest request = new StatusRequest(mShards.self().vm(), current().revision());
        return mNetwork.request(peer, request, StatusReply.class, STATUS_TIMEOUT_MILLIS)
                .whenComplete(
                        (reply, failure) -> {
                            if (failure == null) {
                                noteStatus(peer, sent, reply);
                            }
                        });
    }

    private void noteStatus(DaemonInfo peer, long sent, StatusReply reply) {
        update(
                rules ->
                        rules.recordPeerStatus(
                                peer.vm(), sent, reply.revision(), reply.storeReadAgeMillis()));
        if (reply.revision() > current().revision()) {
            pollSoon();
        } else if (reply.revision() < current().revision()) {
            push(peer, current());
        }
    }

    private CompletionStage<StatusReply> onStatus(StatusRequest request) {
        if (request.revision() > current().revision()) {
            update(rules -> rules.recordKnownRevision(request.revision()));
            pollSoon();
        } else if (request.revision() < current().revision()) {
            peers().stream()
                    .filter(peer -> peer.vm().equals(request.from()))
                    .findFirst()
                    .ifPresent(peer -> push(peer, current()));
        }
        return CompletableFuture.completedFuture(status());
    }

    private CompletionStage<StatusReply> onPush(ConfigPush push) {
        if (push.revision() > current().revision()) {
            apply(mCodec.readStored(push.body()).withRevision(push.revision()));
        }
        return CompletableFuture.completedFuture(status());
    }

    private StatusReply status() {
        DaemonInfo self = mShards.self();
        synchronized (mLock) {
            return new StatusReply(
                    self.vm(),
                    self.incarnation(),
                    mRules.revision(),
                    mRules.storeAgeMillis(mTicker.readNanos()),
                    self.draining());
        }
    }

    private void pollSoon() {
        if (mPollSoon.compareAndSet(false, true)) {
            mPoll.execute(this::poll);
        }
    }

    // Distribution.

    private CompletableFuture<StatusReply> push(DaemonInfo peer, DeploymentConfig config) {
        long sent = mTicker.readNanos();
        ConfigPush message = pushOf(config);
        return mNetwork.request(peer, message, StatusReply.class, PUSH_TIMEOUT_MILLIS)
                .whenComplete(
                        (reply, failure) -> {
                            if (failure == null) {
                                update(
                                        rules ->
                                                rules.recordPeerStatus(
                                                        peer.vm(),
                                                        sent,
                                                        reply.revision(),
                                                        reply.storeReadAgeMillis()));
                            }
                        });
    }

    /** Returns the message for a configuration, which is encoded once for all peers. */
    private ConfigPush pushOf(DeploymentConfig config) {
        ConfigPush last = mLastPush;
        if (last == null || last.revision() != config.revision()) {
            last = new ConfigPush(config.revision(), mCodec.write(config));
            mLastPush = last;
        }
        return last;
    }

    /**
     * Pushes a configuration to all peers and waits until a majority has applied it. Blocks.
     *
     * @param config the configuration
     * @return whether a majority, this daemon included, has confirmed it
     */
    boolean distribute(DeploymentConfig config) {
        Set<DaemonInfo> missing = new HashSet<>(peers());
        MajorityRound round = new MajorityRound(neededPeers());
        for (int i = 0; i < PUSH_ROUNDS && !round.reached(); i++) {
            Set<DaemonInfo> rest = round.missing(missing);
            for (DaemonInfo peer : rest) {
                round.track(peer, push(peer, config), config.revision());
            }
            round.await(PUSH_TIMEOUT_MILLIS);
        }
        return round.reached();
    }
}
