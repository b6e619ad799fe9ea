package org.heathercourse.gateway.control;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.fleet.FleetHistory;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.MemberState;
import org.heathercourse.core.fleet.RecentContacts;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.limits.RateFractions;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.target.ColdTargets;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.IncarnationPolicy;
import org.heathercourse.daemon.peer.NettyPeerNetwork;
import org.heathercourse.daemon.peer.PeerSettings;
import org.heathercourse.gateway.history.TurnHistory;
import org.heathercourse.gateway.store.DirectChannel;
import org.heathercourse.gateway.store.RelayingChannel;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.entry.HostedPlatform;
import org.heathercourse.platform.rows.RowStore;

/**
 * The control plane of a gateway: store access, configuration, targets, membership, rate limits,
 * budgets, the record of crashes and the histories of turns, all on one control thread.
 *
 * <p>Life cycle: create, {@link #start}, {@link #leave}, {@link #close}. Safe for use by several
 * threads.
 */
public final class ControlPlane {
    /** Time in milliseconds between two returns of tokens of programs with another owner. */
    private static final long TOKEN_RETURN_PERIOD_MILLIS = 2_000;

    private static final EventLog LOG = EventLog.of(ControlPlane.class);

    private final ClusterView mClusterView;
    private final FleetHistory mFleetHistory;
    private final RecentContacts mRecentContacts;
    private final ColdTargets mColdTargets;
    private final EventLoop mControl;
    private final EventLoopGroup mGroup;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final int mMaxHandshakes;
    private final Member mSelf;
    private final DirectChannel mDirectChannel;
    private final RelayingChannel mStoreChannel;
    private final RowStore mStore;
    private final RateFractions mRateFractions;
    private final CrashRecordService mCrashRecords;
    private final ConfigurationFollower mConfiguration;
    private final TargetFollower mTargets;
    private final MembershipLoop mMembers;
    private final HistoryServices mHistories;
    private final CompletableFuture<BudgetService> mBudgetService = new CompletableFuture<>();
    private final CompletableFuture<RateService> mRateService = new CompletableFuture<>();
    private final RateService.LocalOwner mLocalRateOwner;
    private final LoadSharing mLoadSharing;
    private volatile boolean mLeaving;

    /** Null until the secret of the peers is known; written on the control loop. */
    private volatile NettyPeerNetwork mPeers;

    /**
     * Creates a control plane that has not started.
     *
     * @param self this gateway, with heartbeat 0
     * @param storeAddress address of the store
     * @param platform adapter for the hosted platform's names and formats
     * @param group group of one event loop, the control thread
     * @param ticker monotonic clock
     * @param wallTicker source of moments
     * @param random source of random numbers
     * @param localRateOwner grants tokens from the parts of rates that this gateway owns
     * @param histories clock, metrics and limits of the histories of turns
     */
    public ControlPlane(
            Member self,
            InetSocketAddress storeAddress,
            HostedPlatform platform,
            EventLoopGroup group,
            Ticker ticker,
            SuspendAwareClock wallTicker,
            RandomGenerator random,
            RateService.LocalOwner localRateOwner,
            HistoryOptions histories,
            int maxHandshakes) {
        mLocalRateOwner = localRateOwner;
        mMaxHandshakes = maxHandshakes;
        mSelf = self;
        mGroup = group;
        mControl = group.next();
        mTicker = ticker;
        mRandom = random;
        mDirectChannel = new DirectChannel(storeAddress, mControl);
        mStoreChannel = new RelayingChannel(mDirectChannel, ticker);
        mStore = platform.rowStore(mStoreChannel);
        mRateFractions = new RateFractions(self.vm().value(), wallTicker);
        mCrashRecords = new CrashRecordService(mStore, mControl, wallTicker, random);
        mFleetHistory = new FleetHistory(wallTicker);
        mColdTargets = new ColdTargets(ticker);
        mRecentContacts = new RecentContacts(self.vm(), wallTicker);
        mClusterView = new ClusterView(this::recordFleet);
        mConfiguration =
                new ConfigurationFollower(
                        platform.declaredRows(),
                        mStore,
                        mControl,
                        wallTicker,
                        mClusterView,
                        mColdTargets);
        mTargets =
                new TargetFollower(
                        platform.declaredRows(),
                        mStore,
                        mControl,
                        wallTicker,
                        mClusterView,
                        mColdTargets);
        mLoadSharing = new LoadSharing(mClusterView, self, mControl, wallTicker);
        mMembers =
                new MembershipLoop(
                        mStore,
                        mControl,
                        wallTicker,
                        mClusterView,
                        mRateFractions,
                        mCrashRecords,
                        self,
                        this::state);
        mHistories =
                new HistoryServices(
                        histories,
                        mStore,
                        mControl,
                        wallTicker,
                        random,
                        mClusterView,
                        self.vm().value());
    }

    /**
     * Starts to read the store.
     *
     * <p>{@link #budgetService} and {@link #rateService} complete once the peer network listens.
     */
    public void start() {
        mConfiguration.start();
        mTargets.start();
        new PeerSecretLoader(mStore, mControl)
                .load()
                .thenAcceptAsync(this::startPeers, mControl)
                .whenComplete(
                        (done, error) -> {
                            if (error != null) {
                                failPeerServices(error);
                            }
                        });
    }

    /** Fails the requests that wait for the peer network, so that they are refused at once. */
    private void failPeerServices(Throwable error) {
        LOG.error("peers_not_started", error);
        mBudgetService.completeExceptionally(error);
        mRateService.completeExceptionally(error);
    }

    /** Returns the client of the gateways that own the budgets of programs. */
    public CompletableFuture<BudgetService> budgetService() {
        return mBudgetService;
    }

    /** Returns the client of the gateways that own the rates of workspaces. */
    public CompletableFuture<RateService> rateService() {
        return mRateService;
    }

    /** Returns how many unauthenticated peer connections were closed because of their number. */
    public long closedHandshakes() {
        NettyPeerNetwork peers = mPeers;
        return peers == null ? 0 : peers.closedHandshakes();
    }

    private void startPeers(byte[] secret) {
        // Owners are chosen by VM, and buckets and budgets are safe with any process on it.
        PeerSettings settings =
                new PeerSettings(mSelf.peerHost(), mSelf.peerPort(), secret, 1)
                        .withIncarnationPolicy(IncarnationPolicy.SAME_OR_NEWER)
                        .withMaxHandshakes(mMaxHandshakes);
        DaemonInfo self = PeerAddress.of(mSelf);
        mPeers = new NettyPeerNetwork(settings, () -> self, mTicker, mRandom, mGroup);
        String writerPrefix = mSelf.vm() + "/" + mSelf.incarnation() + "/";
        BudgetLedger ledger = new BudgetLedger(mStore, mControl, mTicker, writerPrefix);
        BudgetService budgets = new BudgetService(ledger, mClusterView, mPeers, mControl, mSelf);
        mStoreChannel.setPeerChannel(
                new StoreRelay(mPeers, mClusterView, mSelf, mDirectChannel, mRandom));
        mPeers.listen()
                .whenComplete(
                        (port, error) -> {
                            if (error != null) {
                                failPeerServices(error);
                                return;
                            }
                            mMembers.start();
                            mHistories.startRemoval();
                            mLoadSharing.start(mPeers);
                            new BudgetSweeper(mStore, mControl, this::isLeader).start();
                            mControl.scheduleWithFixedDelay(
                                    budgets::returnUnownedTokens,
                                    TOKEN_RETURN_PERIOD_MILLIS,
                                    TOKEN_RETURN_PERIOD_MILLIS,
                                    TimeUnit.MILLISECONDS);
                            mRateService.complete(
                                    new RateService(
                                            mPeers, mClusterView, mSelf, mTicker, mLocalRateOwner));
                            mBudgetService.complete(budgets);
                        });
    }

    private boolean isLeader() {
        return mClusterView.fleet().leaderOrder().stream()
                .findFirst()
                .filter(leader -> leader.vm().equals(mSelf.vm()))
                .isPresent();
    }

    /** Returns what the gateways tell each other about the load of the targets. */
    public LoadSharing loadSharing() {
        return mLoadSharing;
    }

    /** Returns the latest configuration, targets and gateways. */
    public ClusterView clusterView() {
        return mClusterView;
    }

    private void recordFleet(Fleet fleet) {
        mFleetHistory.record(fleet);
        mRecentContacts.record(fleet);
    }

    /** Returns when each gateway was running for certain. */
    public RecentContacts recentContacts() {
        return mRecentContacts;
    }

    /** Returns the recent views of the live gateways. */
    public FleetHistory fleetHistory() {
        return mFleetHistory;
    }

    /** Returns the targets that are cold. */
    public ColdTargets coldTargets() {
        return mColdTargets;
    }

    /** Returns the shares of the workspaces' rates. */
    public RateFractions rateFractions() {
        return mRateFractions;
    }

    /** Returns the record of requests that crash targets. */
    public CrashRecordService crashRecords() {
        return mCrashRecords;
    }

    /** Returns the histories of turns. */
    public TurnHistory turnHistory() {
        return mHistories.history();
    }

    /** Returns the age of the configuration. */
    public ReadFreshness configurationAge() {
        return mConfiguration.freshness();
    }

    /**
     * Returns the state of this gateway: READY once configuration, targets and rate shares have
     * been read, LEAVING after {@link #leave}.
     */
    public MemberState state() {
        if (mLeaving) {
            return MemberState.LEAVING;
        }
        boolean hasReadTables =
                mClusterView.routing().isPresent()
                        && mTargets.freshness().ageMillis() != ReadFreshness.NEVER_MILLIS;
        return hasReadTables && mRateFractions.epoch() != null
                ? MemberState.READY
                : MemberState.STARTING;
    }

    /** Announces to the other gateways that this one leaves, and returns unused budget tokens. */
    public void leave() {
        mLeaving = true;
        mControl.execute(
                () -> {
                    mMembers.writeHeartbeatNow()
                            .whenComplete(
                                    (commit, error) ->
                                            LOG.info("leave_announced", "done", error == null));
                    mBudgetService.thenAccept(BudgetService::returnAllTokens);
                });
    }

    /**
     * Returns the unused tokens of calls that have ended since {@link #leave}. Requires that no
     * call is active.
     *
     * @return completes when the calls are settled and the store has the tokens; not while the
     *     store is unavailable
     */
    public CompletableFuture<Void> returnRemainingTokens() {
        // Without the service no turn has begun.
        return mBudgetService.isDone()
                ? mBudgetService.thenCompose(BudgetService::settleAndReturnTokens)
                : CompletableFuture.completedFuture(null);
    }

    /** Stops the heartbeat and closes the peer network. */
    public void close() {
        mMembers.stop();
        mHistories.close();
        if (mPeers != null) {
            mPeers.close();
        }
    }
}
