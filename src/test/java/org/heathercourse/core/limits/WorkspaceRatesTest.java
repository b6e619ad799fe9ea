package org.heathercourse.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.heathercourse.core.routing.Workspace;
import org.heathercourse.core.time.TestTime;
import org.junit.jupiter.api.Test;

/** Guards against more requests than the rate allows, and against refusals below it. */
class WorkspaceRatesTest {
    private static final int GATEWAYS = 9;
    private static final int WINDOW_MILLIS = 5_000;
    private static final Workspace WORKSPACE =
            new Workspace("w", Set.of("k"), OptionalInt.empty(), 40, 40);

    /** Time in milliseconds for which a new gateway hands out nothing. */
    private static final long QUIET_MILLIS = 500;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TestTime mTime = new TestTime();
    private final List<WorkspaceRates> mGateways = new ArrayList<>();
    private final Map<Integer, ShareHolder> mHolders = new HashMap<>();
    private final PriorityQueue<Long> mAdmittedAtMillis = new PriorityQueue<>();
    private int mTurn;

    private WorkspaceRates gateway(int number) {
        ShareHolder holder = new ShareHolder("vm-" + number, mTime.suspendAwareClock());
        holder.onRead(ShareEpoch.first(table()), mTime.suspendAwareClock().now());
        mHolders.put(number, holder);
        return new WorkspaceRates(holder, mTime.ticker());
    }

    private static ShareTable table() {
        return new ShareTable(
                IntStream.range(0, GATEWAYS).mapToObj(number -> "vm-" + number).toList());
    }

    private static int owner(int which) {
        return Integer.parseInt(table().owners("w").get(which).substring("vm-".length()));
    }

    private void start() {
        for (int i = 0; i < GATEWAYS; i++) {
            mGateways.add(gateway(i));
        }
        pass(QUIET_MILLIS);
        refresh();
    }

    private void refresh() {
        mGateways.forEach(gateway -> gateway.refresh(List.of(WORKSPACE)));
    }

    private void pass(long millis) {
        mTime.advanceMillis(millis);
        mHolders.values()
                .forEach(
                        holder ->
                                holder.onRead(
                                        ShareEpoch.first(table()),
                                        mTime.suspendAwareClock().now()));
    }

    /** Admits a request as a gateway does; returns whether it was. */
    private boolean admit(int number, long mostWaitMillis) {
        WorkspaceRates rates = mGateways.get(number);
        long nowMillis = mTime.ticker().readMillis();
        if (rates.acquireRefunded(WORKSPACE)) {
            mAdmittedAtMillis.add(nowMillis);
            return true;
        }
        List<String> owners =
                RateSearch.orderOwners(
                        rates.owners(WORKSPACE), "vm-" + number, mTurn++, o -> false);
        RateSearch search = new RateSearch(owners, mostWaitMillis);
        for (var question = search.next(); question != null; question = search.next()) {
            int owner = Integer.parseInt(question.owner().substring("vm-".length()));
            RateGrant grant =
                    mGateways
                            .get(owner)
                            .reserve(WORKSPACE, new RateRequest(false, question.maxWaitMillis()));
            if (grant.granted()) {
                mAdmittedAtMillis.add(nowMillis + grant.waitMillis());
                return true;
            }
            search.onRejected(grant);
        }
        return false;
    }

    private static RateRequest begun(long mostWaitMillis) {
        return new RateRequest(false, mostWaitMillis);
    }

    private boolean admit(int number) {
        return admit(number, 0);
    }

    @Test
    void startsEmptyBecauseAnEarlierProcessMayHaveUsedTheShare() {
        start();
        assertThat(admit(0)).isFalse();
    }

    /** What a process promised before it died is used up to half a second later. */
    @Test
    void startsWhenThePromisesOfAnEarlierProcessHaveLapsed() {
        start();
        mGateways.set(owner(0), gateway(owner(0)));
        pass(QUIET_MILLIS - 1);
        assertThat(mGateways.get(owner(0)).reserve(WORKSPACE, begun(1_000)))
                .isEqualTo(RateGrant.NONE);
        pass(1);
        assertThat(mGateways.get(owner(0)).reserve(WORKSPACE, begun(1_000)).granted()).isTrue();
    }

    /** The load of a program with sub-agents: a dozen requests at once at one gateway. */
    @Test
    void burstAtOneGatewayUsesTheWholeRate() {
        start();
        pass(1_000);
        int admitted = 0;
        for (int i = 0; i < 60; i++) {
            admitted += admit(0, 500) ? 1 : 0;
        }
        // 20 are there, and 44 a second come; the burst is 40.
        assertThat(admitted).isBetween(40, 42);
    }

    /**
     * Replays programs that send their calls in groups to any gateway, below the rate on the mean.
     * Shares that are split over all gateways refuse a sixth of them, because most tokens lie where
     * no request needs them.
     */
    @Test
    void requestsBelowTheRateAreRefusedNoOftenerThanWithOneBucketForAll() {
        start();
        TokenBucket ideal = new TokenBucket(40, 40, 0, mTime.ticker().readNanos());
        long mostMillis = 500;
        SplittableRandom random = new SplittableRandom(5);
        int sent = 0;
        int refused = 0;
        int refusedByIdeal = 0;
        for (int step = 0; step < 6_000; step++) {
            int group = random.nextInt(20) == 0 ? 1 + random.nextInt(13) : 0;
            int gateway = random.nextInt(GATEWAYS);
            for (int i = 0; i < group; i++) {
                sent++;
                refused += admit(gateway, mostMillis) ? 0 : 1;
                long mostNanos = mostMillis * NANOS_PER_MILLI;
                long nanos = ideal.reserve(0, mostNanos, mTime.ticker().readNanos());
                refusedByIdeal += nanos > mostNanos ? 1 : 0;
            }
            pass(10);
        }
        assertThat(sent).isBetween(1_900, 2_400);
        assertThat(refused).isLessThanOrEqualTo(refusedByIdeal + sent / 100);
    }

    /** A workspace at its limit gets what the rate and the burst allow in each window. */
    @Test
    void workspaceAboveItsRateGetsTheBurstInEachWindow() {
        start();
        for (int step = 0; step < 2_000; step++) {
            for (int i = 0; i < 2; i++) {
                admit(step % GATEWAYS, 0);
            }
            pass(10);
        }
        assertThat(mAdmittedAtMillis.size()).isGreaterThan((int) (20 * (40 + 0.45 * 40 / 5)));
    }

    @Test
    void neverMoreThanRateAndBurstInAnyWindow() {
        for (long seed = 1; seed <= 20; seed++) {
            mGateways.clear();
            mAdmittedAtMillis.clear();
            start();
            playBursts(new SplittableRandom(seed));
            assertThat(mostInWindow()).as("seed %d", seed).isLessThanOrEqualTo(40 * 5 + 40);
        }
    }

    private void playBursts(SplittableRandom random) {
        for (int step = 0; step < 3_000; step++) {
            if (random.nextInt(400) == 0) {
                // A restart forgets what was used and promised.
                int restarted = random.nextInt(GATEWAYS);
                mGateways.set(restarted, gateway(restarted));
            }
            boolean burst = step / 250 % 2 == 0;
            for (int i = 0; i < (burst ? 5 : 0); i++) {
                admit(random.nextInt(GATEWAYS), random.nextInt(3) * 250);
            }
            pass(10);
        }
    }

    private int mostInWindow() {
        Deque<Long> window = new ArrayDeque<>();
        int most = 0;
        while (!mAdmittedAtMillis.isEmpty()) {
            long atMillis = mAdmittedAtMillis.remove();
            window.add(atMillis);
            while (window.peek() <= atMillis - WINDOW_MILLIS) {
                window.remove();
            }
            most = Math.max(most, window.size());
        }
        return most;
    }

    @Test
    void gatewayThatOwnsNothingSaysSo() {
        start();
        pass(10_000);
        for (int i = 0; i < GATEWAYS; i++) {
            boolean owner = i == owner(0) || i == owner(1);
            assertThat(mGateways.get(i).reserve(WORKSPACE, begun(0)).fromOwner()).isEqualTo(owner);
        }
    }

    /** The load of a full workspace: new programs must not take the tokens that begun ones need. */
    @Test
    void programsThatHaveNotBegunLeavePartOfTheBurst() {
        start();
        pass(1_000);
        WorkspaceRates owner = mGateways.get(owner(0));
        RateRequest newcomer = new RateRequest(true, 0);
        int newcomers = 0;
        while (owner.reserve(WORKSPACE, newcomer).granted()) {
            newcomers++;
        }
        int begun = 0;
        while (owner.reserve(WORKSPACE, begun(0)).granted()) {
            begun++;
        }
        assertThat(newcomers).isEqualTo(7);
        assertThat(begun).isEqualTo(3);
        RateGrant later = owner.reserve(WORKSPACE, new RateRequest(true, 150));
        assertThat(later).isEqualTo(new RateGrant(false, 182));
    }

    @Test
    void requestThatHasToWaitTakesItsPlaceInTheQueue() {
        start();
        WorkspaceRates owner = mGateways.get(owner(0));
        assertThat(owner.reserve(WORKSPACE, begun(1_000))).isEqualTo(new RateGrant(true, 46));
        assertThat(owner.reserve(WORKSPACE, begun(1_000))).isEqualTo(new RateGrant(true, 91));
        assertThat(owner.reserve(WORKSPACE, begun(100))).isEqualTo(new RateGrant(false, 137));
        pass(50);
        assertThat(owner.reserve(WORKSPACE, begun(100))).isEqualTo(new RateGrant(true, 87));
    }

    @Test
    void refundedTokenCanBeUsedAgainForSomeTime() {
        start();
        mGateways.get(0).refund(WORKSPACE);
        mGateways.get(0).refund(WORKSPACE);
        assertThat(mGateways.get(0).acquireRefunded(WORKSPACE)).isTrue();
        assertThat(mGateways.get(0).acquireRefunded(WORKSPACE)).isFalse();
        mGateways.get(0).refund(WORKSPACE);
        pass(1_000);
        assertThat(mGateways.get(0).acquireRefunded(WORKSPACE)).isFalse();
    }
}
