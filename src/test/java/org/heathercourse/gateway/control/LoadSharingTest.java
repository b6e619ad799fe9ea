package org.heathercourse.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.MemberState;
import org.heathercourse.core.load.SharedLoad;
import org.heathercourse.core.load.TargetWork;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.routing.Route;
import org.heathercourse.core.routing.RoutingTable;
import org.heathercourse.core.routing.ServiceWeight;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.TestTime;
import org.heathercourse.daemon.peer.PeerException;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerMessage.LoadReport;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.junit.jupiter.api.Test;

/** Guards the exchange of load between gateways: who sends what, when, and what failures leave. */
class LoadSharingTest {
    private static final long PERIOD_MILLIS = 400;
    private static final TargetWork WORK = new TargetWork(2, 1_000, 60, 400, 500);

    private final TestTime mTime = new TestTime();
    private final SuspendAwareClock mClock = mTime.suspendAwareClock();
    private final ManualExecutor mExecutor = new ManualExecutor(mTime);
    private final Map<VmId, Node> mNodes = new HashMap<>();
    private final List<LoadReport> mSent = new ArrayList<>();
    private VmId mSilent;

    /** A gateway with a peer network that delivers at once, or never to the silent gateway. */
    private final class Node implements PeerNetwork {
        final Member mMember;
        final ClusterView mView = new ClusterView();
        final LoadSharing mSharing;
        Map<String, TargetWork> mWork = Map.of();
        Function<PeerMessage, CompletionStage<? extends PeerMessage>> mHandler;

        Node(Member member, LoadSharingMode mode) {
            mMember = member;
            mSharing = new LoadSharing(mView, member, mExecutor, mClock);
            mSharing.configure(mode, () -> CompletableFuture.completedFuture(mWork));
            mSharing.start(this);
        }

        @Override
        public <R extends PeerMessage> CompletableFuture<R> request(
                DaemonInfo to, PeerMessage message, Class<R> replyType, long timeoutMillis) {
            mSent.add((LoadReport) message);
            if (to.vm().equals(mSilent)) {
                return CompletableFuture.failedFuture(new IllegalStateException("no reply"));
            }
            return mNodes.get(to.vm())
                    .mHandler
                    .apply(message)
                    .thenApply(replyType::cast)
                    .toCompletableFuture();
        }

        @Override
        public <M extends PeerMessage> void onRequest(
                Class<M> type, Function<M, CompletionStage<? extends PeerMessage>> handler) {
            mHandler = message -> handler.apply(type.cast(message));
        }

        @Override
        public CallStream openCall(
                DaemonInfo to,
                PeerMessage.CallStart start,
                Consumer<PeerMessage> listener,
                Consumer<PeerException> onLinkLost) {
            throw new UnsupportedOperationException("load needs no calls");
        }

        @Override
        public void onCall(BiConsumer<PeerMessage.CallStart, CallStream> handler) {}

        @Override
        public void close() {}
    }

    private static Member member(String vm, String zone) {
        return new Member(
                new VmId(vm), 1, new Zone(zone), "h:1", "h", 2, MemberState.READY, 1, 1_000, 0);
    }

    private static RoutingTable routing(boolean retainsHistory) {
        Route route =
                Route.builder()
                        .name("r")
                        .host("h")
                        .services(List.of(new ServiceWeight("s", 1)))
                        .retainsHistory(retainsHistory)
                        .build();
        return RoutingTable.builder(1).route(route).build();
    }

    private void start(LoadSharingMode mode, boolean retainsHistory, Member... members) {
        for (Member member : members) {
            mNodes.put(member.vm(), new Node(member, mode));
        }
        setFleet(members);
        mNodes.values().forEach(node -> node.mView.setRouting(routing(retainsHistory)));
    }

    private void setFleet(Member... members) {
        mNodes.values().forEach(node -> node.mView.setFleet(new Fleet(List.of(members))));
    }

    private static Member[] zone(String zone, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> member(zone + "-" + i, zone))
                .toArray(Member[]::new);
    }

    private void run(int periods) {
        for (int i = 0; i < periods; i++) {
            mExecutor.advance(PERIOD_MILLIS);
        }
    }

    private void workEverywhere() {
        mNodes.values().forEach(node -> node.mWork = Map.of("t@1", WORK));
    }

    private VmId owner(String zone) {
        Node any = mNodes.values().iterator().next();
        return any.mView.fleet().budgetOwner("load", new Zone(zone)).orElseThrow().vm();
    }

    /** Guards against additional messages in deployments without retained histories. */
    @Test
    void sendsNothingUnlessEnabled() {
        start(LoadSharingMode.AUTO, false, zone("a", 3));
        workEverywhere();
        run(5);
        assertThat(mSent).isEmpty();
        assertThat(mNodes.values()).allMatch(node -> node.mSharing.shared() == null);
        mNodes.values().forEach(node -> node.mView.setRouting(routing(true)));
        run(1);
        assertThat(mSent).hasSize(2);
    }

    @Test
    void offSendsNothing() {
        start(LoadSharingMode.OFF, true, zone("a", 3));
        workEverywhere();
        run(5);
        assertThat(mSent).isEmpty();
    }

    @Test
    void eachGatewayLearnsTheWorkOfTheOthers() {
        start(LoadSharingMode.AUTO, true, zone("a", 3));
        workEverywhere();
        run(4);
        for (Node node : mNodes.values()) {
            SharedLoad shared = node.mSharing.shared();
            assertThat(shared.othersAt("t@1")).isEqualTo(WORK.plus(WORK));
            assertThat(shared.isUsable(mClock)).isTrue();
        }
        // Two gateways report once each period; the owner reports to itself.
        assertThat(mSent).hasSize(8);
    }

    /** Guards against messages of idle gateways, and against work that stays when it has ended. */
    @Test
    void reportsTheEndOfWorkOnceAndThenNothing() {
        start(LoadSharingMode.ON, false, zone("a", 3));
        workEverywhere();
        run(2);
        mNodes.values().forEach(node -> node.mWork = Map.of());
        run(1);
        mSent.clear();
        run(3);
        assertThat(mSent).isEmpty();
        Node node = mNodes.get(owner("a"));
        node.mWork = Map.of("t@1", WORK);
        run(1);
        assertThat(node.mSharing.shared().others()).isEmpty();
    }

    @Test
    void zonesExchangeTheirSums() {
        start(
                LoadSharingMode.ON,
                false,
                member("a-0", "a"),
                member("a-1", "a"),
                member("b-0", "b"),
                member("b-1", "b"));
        workEverywhere();
        run(4);
        TargetWork three = WORK.plus(WORK).plus(WORK);
        for (Node node : mNodes.values()) {
            assertThat(node.mSharing.shared().othersAt("t@1")).isEqualTo(three);
        }
        long zoneSums = mSent.stream().filter(LoadReport::zoneSum).count();
        assertThat(zoneSums).as("one zone asks, the other replies").isLessThanOrEqualTo(4);
    }

    /** Guards against the use of the last reply of an owner that no longer replies. */
    @Test
    void lostOwnerLeavesNoUsableLoadUntilAnotherHasCollected() {
        Member[] members = zone("a", 3);
        start(LoadSharingMode.ON, false, members);
        workEverywhere();
        run(4);
        mSilent = owner("a");
        Node other = mNodes.values().stream().filter(this::isNotSilent).findFirst().get();
        run(6);
        assertThat(other.mSharing.shared().isUsable(mClock)).isFalse();
        assertThat(other.mSharing.failedReports()).isEqualTo(6);
        Member[] left =
                List.of(members).stream()
                        .filter(member -> !member.vm().equals(mSilent))
                        .toArray(Member[]::new);
        setFleet(left);
        run(1);
        assertThat(other.mSharing.shared().isUsable(mClock)).isFalse();
        run(3);
        assertThat(other.mSharing.shared().isUsable(mClock)).isTrue();
    }

    private boolean isNotSilent(Node node) {
        return !node.mMember.vm().equals(mSilent);
    }

    /** Guards against a reply that was under way for five seconds and counts as new. */
    @Test
    void aReplyIsAsOldAsItsRequest() {
        start(LoadSharingMode.ON, false, zone("a", 2));
        workEverywhere();
        run(4);
        Node node = mNodes.get(owner("a"));
        assertThat(node.mSharing.shared().isUsable(mClock)).isTrue();
        mTime.suspend(5_000);
        assertThat(node.mSharing.shared().isUsable(mClock)).isFalse();
        assertThat(node.mSharing.ageMillis()).isGreaterThanOrEqualTo(5_000);
    }
}
