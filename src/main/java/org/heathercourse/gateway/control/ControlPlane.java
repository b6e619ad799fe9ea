package org.heathercourse.gateway.control;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.MemberState;
import org.heathercourse.core.freshness.ReadFreshness;
import org.heathercourse.core.limits.ShareHolder;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.peer.NettyPeerNetwork;
import org.heathercourse.daemon.peer.PeerSettings;
import org.heathercourse.gateway.store.DirectChannel;
import org.heathercourse.gateway.store.RelayingChannel;
import org.heathercourse.log.EventLog;
import org.heathercourse.platform.entry.HostedPlatform;
import org.heathercourse.platform.rows.RowStore;

/**
 * Everything that a gateway keeps on its control thread.
 *
 * <p>Life cycle: create, {@link #start}, {@link #leave}, {@link #close}. Safe for use by several
 * threads.
 */
public final class ControlPlane {
    /** Time in milliseconds between two looks for programs that another gateway owns now. */
    private static final long GIVE_BACK_MILLIS = 2_000;

    private static final EventLog LOG = EventLog.of(ControlPlane.class);

    private final ClusterView mClusterView = new ClusterView();
    private final EventLoop mControl;
    private final EventLoopGroup mGroup;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Member mSelf;
    private final DirectChannel mDirect;
    private final RelayingChannel mChannel;
    private final RowStore mStore;
    private final ShareHolder mShares;
    private final ConfigurationFollower mConfiguration;
    private final TargetFollower mTargets;
    private final MemberLoop mMembers;
    private final CompletableFuture<BudgetService> mBudgets = new CompletableFuture<>();
    private final CompletableFuture<RateService> mRates = new CompletableFuture<>();
    private final RateService.LocalOwner mRateOwner;
    private volatile boolean mLeaving;
    private NettyPeerNetwork mPeers;

    /**
     * Creates a control plane that has not started.
     *
     * @param self this gateway
     * @param storeAddress address of the store
     * @param platform names and formats
     * @param group group of one event loop, the control thread
     * @param ticker steady time
     * @param wallTicker source of moments
     * @param random source of random numbers
     * @param rateOwner admits requests within the rates that this gateway owns
     */
    public ControlPlane(
            Member self,
            InetSocketAddress storeAddress,
            HostedPlatform platform,
            EventLoopGroup group,
            Ticker ticker,
            SuspendAwareClock wallTicker,
            RandomGenerator random,
            RateService.LocalOwner rateOwner) {
        mRateOwner = rateOwner;
        mSelf = self;
        mGroup = group;
        mControl = group.next();
        mTicker = ticker;
        mRandom = random;
        mDirect = new DirectChannel(storeAddress, mControl);
        mChannel = new RelayingChannel(mDirect, ticker);
        mStore = platform.rowStore(mChannel);
        mShares = new ShareHolder(self.vm().value(), wallTicker);
        mConfiguration =
                new ConfigurationFollower(
                        platform.declaredRows(), mStore, mControl, wallTicker, mClusterView);
        mTargets =
                new TargetFollower(
                        platform.declaredRows(), mStore, mControl, wallTicker, mClusterView);
        mMembers =
                new MemberLoop(
                        mStore, mControl, wallTicker, mClusterView, mShares, self, this::state);
    }

    /**
     * Starts to read the store.
     *
     * <p>Budgets and rates are there once other gateways can be spoken to.
     */
    public void start() {
        mConfiguration.start();
        mTargets.start();
        new PeerSecret(mStore, mControl)
                .load()
                .thenAcceptAsync(this::startPeers, mControl)
                .whenComplete(
                        (done, error) -> {
                            if (error != null) {
                                LOG.error("peers_not_started", error);
                                mBudgets.completeExceptionally(error);
                            }
                        });
    }

    /** Returns the budgets of programs. */
    public CompletableFuture<BudgetService> budgets() {
        return mBudgets;
    }

    /** Returns the rates at the gateways that own them. */
    public CompletableFuture<RateService> rates() {
        return mRates;
    }

    private void startPeers(byte[] secret) {
        PeerSettings settings = new PeerSettings(mSelf.peerHost(), mSelf.peerPort(), secret, 1);
        DaemonInfo self = PeerAddress.of(mSelf);
        mPeers = new NettyPeerNetwork(settings, () -> self, mTicker, mRandom, mGroup);
        String writer = mSelf.vm() + "/" + mSelf.incarnation() + "/";
        BudgetLedger ledger = new BudgetLedger(mStore, mControl, mTicker, writer);
        BudgetService budgets = new BudgetService(ledger, mClusterView, mPeers, mControl, mSelf);
        mChannel.setPeers(new StoreRelay(mPeers, mClusterView, mSelf, mDirect, mRandom));
        mPeers.listen()
                .whenComplete(
                        (port, error) -> {
                            if (error != null) {
                                mBudgets.completeExceptionally(error);
                                return;
                            }
                            mMembers.start();
                            mControl.scheduleWithFixedDelay(
                                    budgets::returnUnownedTokens,
                                    GIVE_BACK_MILLIS,
                                    GIVE_BACK_MILLIS,
                                    TimeUnit.MILLISECONDS);
                            mRates.complete(
                                    new RateService(
                                            mPeers, mClusterView, mSelf, mTicker, mRateOwner));
                            mBudgets.complete(budgets);
                        });
    }

    /** Returns what is known. */
    public ClusterView clusterView() {
        return mClusterView;
    }

    /** Returns the shares of the workspaces' rates. */
    public ShareHolder shares() {
        return mShares;
    }

    /** Returns the age of the configuration. */
    public ReadFreshness configurationAge() {
        return mConfiguration.freshness();
    }

    /** Returns what this gateway says of itself. */
    public MemberState state() {
        if (mLeaving) {
            return MemberState.LEAVING;
        }
        boolean known =
                mClusterView.routing().isPresent()
                        && mTargets.freshness().ageMillis() != ReadFreshness.NEVER_MILLIS;
        return known && mShares.epoch() != null ? MemberState.READY : MemberState.STARTING;
    }

    /** Tells the others that this gateway leaves, and gives back budgets. */
    public void leave() {
        mLeaving = true;
        mControl.execute(
                () -> {
                    mMembers.announce()
                            .whenComplete(
                                    (commit, error) ->
                                            LOG.info("leave_announced", "done", error == null));
                    mBudgets.thenAccept(BudgetService::returnAllTokens);
                });
    }

    /** Gives back what calls that have ended since {@link #leave} did not use. */
    public void returnRemainingTokens() {
        mControl.execute(() -> mBudgets.thenAccept(BudgetService::returnAllTokens));
    }

    /** Ends all loops and closes all links. */
    public void close() {
        mMembers.stop();
        if (mPeers != null) {
            mPeers.close();
        }
    }
}
