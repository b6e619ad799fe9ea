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

/**
 * Guards against admitting more requests than the rate allows and against rejections below the
 * rate.
 */
class WorkspaceRatesTest {
    private static final int GATEWAYS = 9;
    private static final int WINDOW_MILLIS = 5_000;
    private static final Workspace WORKSPACE =
            new Workspace("w", Set.of("k"), OptionalInt.empty(), 40, 40);

    /** Time in milliseconds during which a new gateway grants no tokens. */
    private static final long INITIAL_WAIT_MILLIS = 500;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TestTime mTime = new TestTime();
    private final List<WorkspaceRates> mGateways = new ArrayList<>();
    private final Map<Integer, RateFractions> mFractions = new HashMap<>();
    private final PriorityQueue<Long> mAdmittedAtMillis = new PriorityQueue<>();
    private int mRequestNumber;

    private WorkspaceRates gateway(int number) {
        RateFractions fractions = new RateFractions("vm-" + number, mTime.suspendAwareClock());
        fractions.onRead(ShareEpoch.first(table()), mTime.suspendAwareClock().now());
        mFractions.put(number, fractions);
        return new WorkspaceRates(fractions, mTime.ticker());
    }

    private static ShareTable table() {
        return new ShareTable(
                IntStream.range(0, GATEWAYS).mapToObj(number -> "vm-" + number).toList());
    }

    private static int owner(int index) {
        return Integer.parseInt(table().owners("w").get(index).substring("vm-".length()));
    }

    private void start() {
        for (int i = 0; i < GATEWAYS; i++) {
            mGateways.add(gateway(i));
        }
        advanceMillis(INITIAL_WAIT_MILLIS);
        refresh();
    }

    private void refresh() {
        mGateways.forEach(gateway -> gateway.refresh(List.of(WORKSPACE)));
    }

    private void advanceMillis(long millis) {
        mTime.advanceMillis(millis);
        mFractions
                .values()
                .forEach(
                        fractions ->
                                fractions.onRead(
                                        ShareEpoch.first(table()),
                                        mTime.suspendAwareClock().now()));
    }

    /** Queries the owners as a gateway does; returns whether the request was admitted. */
    private boolean admit(int number, long maxWaitMillis) {
        WorkspaceRates rates = mGateways.get(number);
        long nowMillis = mTime.ticker().readMillis();
        if (rates.acquireRefunded(WORKSPACE)) {
            mAdmittedAtMillis.add(nowMillis);
            return true;
        }
        List<String> owners =
                RateSearch.orderOwners(
                        rates.owners(WORKSPACE), "vm-" + number, mRequestNumber++, o -> false);
        RateSearch search = new RateSearch(owners, maxWaitMillis);
        for (var query = search.next(); query != null; query = search.next()) {
            int owner = Integer.parseInt(query.owner().substring("vm-".length()));
            RateGrant grant =
                    mGateways
                            .get(owner)
                            .reserve(WORKSPACE, new RateRequest(false, query.maxWaitMillis()));
            if (grant.granted()) {
                mAdmittedAtMillis.add(nowMillis + grant.waitMillis());
                return true;
            }
            search.onRejected(grant);
        }
        return false;
    }

    private static RateRequest begunRequest(long maxWaitMillis) {
        return new RateRequest(false, maxWaitMillis);
    }

    private boolean admit(int number) {
        return admit(number, 0);
    }

    @Test
    void newGatewayStartsWithoutTokens() {
        start();
        assertThat(admit(0)).isFalse();
    }

    /** Reservations of a process that failed may be used up to half a second later. */
    @Test
    void newGatewayGrantsAfterReservationsOfEarlierProcessHavePassed() {
        start();
        mGateways.set(owner(0), gateway(owner(0)));
        advanceMillis(INITIAL_WAIT_MILLIS - 1);
        assertThat(mGateways.get(owner(0)).reserve(WORKSPACE, begunRequest(1_000)))
                .isEqualTo(RateGrant.NONE);
        advanceMillis(1);
        assertThat(mGateways.get(owner(0)).reserve(WORKSPACE, begunRequest(1_000)).granted())
                .isTrue();
    }

    /** Programs with sub-agents send a dozen or more requests at once to one gateway. */
    @Test
    void burstAtOneGatewayUsesTheWholeRate() {
        start();
        advanceMillis(1_000);
        int admitted = 0;
        for (int i = 0; i < 60; i++) {
            admitted += admit(0, 500) ? 1 : 0;
        }
        // 20 tokens are available and 44 per second are added; the burst is 40.
        assertThat(admitted).isBetween(40, 42);
    }

    /**
     * Replays a large fleet, whose workspaces have rates of a few requests a second. A program that
     * sends its calls together after a pause must get the burst of its workspace.
     */
    @Test
    void smallWorkspaceGetsItsWholeBurstAtOnce() {
        start();
        Workspace small = new Workspace("w", Set.of("k"), OptionalInt.empty(), 6, 6);
        mGateways.forEach(gateway -> gateway.refresh(List.of(small)));
        advanceMillis(2_000);
        int admitted = 0;
        for (int i = 0; i < 12; i++) {
            WorkspaceRates owner = mGateways.get(owner(i % 2));
            admitted += owner.reserve(small, begunRequest(0)).granted() ? 1 : 0;
        }
        assertThat(admitted).isEqualTo(6);
    }

    /**
     * Programs send their calls in groups to random gateways, below the rate on average. A rate
     * split over all gateways would reject a sixth of the calls, because most tokens would be at
     * gateways that have no requests.
     */
    @Test
    void requestsBelowTheRateAreRejectedNoMoreOftenThanWithOneBucket() {
        start();
        TokenBucket singleBucket = new TokenBucket(40, 40, 0, mTime.ticker().readNanos());
        long maxWaitMillis = 500;
        SplittableRandom random = new SplittableRandom(5);
        int sent = 0;
        int rejected = 0;
        int rejectedBySingleBucket = 0;
        for (int step = 0; step < 6_000; step++) {
            int group = random.nextInt(20) == 0 ? 1 + random.nextInt(13) : 0;
            int gateway = random.nextInt(GATEWAYS);
            for (int i = 0; i < group; i++) {
                sent++;
                rejected += admit(gateway, maxWaitMillis) ? 0 : 1;
                long maxWaitNanos = maxWaitMillis * NANOS_PER_MILLI;
                long nanos = singleBucket.reserve(0, maxWaitNanos, mTime.ticker().readNanos());
                rejectedBySingleBucket += nanos > maxWaitNanos ? 1 : 0;
            }
            advanceMillis(10);
        }
        assertThat(sent).isBetween(1_900, 2_400);
        assertThat(rejected).isLessThanOrEqualTo(rejectedBySingleBucket + sent / 100);
    }

    /**
     * A workspace at its limit must get its rate and burst in each window, not only in the first
     * one.
     */
    @Test
    void workspaceAboveItsRateGetsTheBurstInEachWindow() {
        start();
        for (int step = 0; step < 2_000; step++) {
            for (int i = 0; i < 2; i++) {
                admit(step % GATEWAYS, 0);
            }
            advanceMillis(10);
        }
        assertThat(mAdmittedAtMillis.size()).isGreaterThan((int) (20 * (40 + 0.45 * 40 / 5)));
    }

    @Test
    void admitsAtMostRateAndBurstInAnyWindow() {
        for (long seed = 1; seed <= 20; seed++) {
            mGateways.clear();
            mAdmittedAtMillis.clear();
            start();
            runBurstsAndRestarts(new SplittableRandom(seed));
            assertThat(maxAdmittedInWindow()).as("seed %d", seed).isLessThanOrEqualTo(40 * 5 + 40);
        }
    }

    private void runBurstsAndRestarts(SplittableRandom random) {
        for (int step = 0; step < 3_000; step++) {
            if (random.nextInt(400) == 0) {
                // A restart loses the record of used and reserved tokens.
                int restarted = random.nextInt(GATEWAYS);
                mGateways.set(restarted, gateway(restarted));
            }
            boolean burst = step / 250 % 2 == 0;
            for (int i = 0; i < (burst ? 5 : 0); i++) {
                admit(random.nextInt(GATEWAYS), random.nextInt(3) * 250);
            }
            advanceMillis(10);
        }
    }

    private int maxAdmittedInWindow() {
        Deque<Long> window = new ArrayDeque<>();
        int max = 0;
        while (!mAdmittedAtMillis.isEmpty()) {
            long atMillis = mAdmittedAtMillis.remove();
            window.add(atMillis);
            while (window.peek() <= atMillis - WINDOW_MILLIS) {
                window.remove();
            }
            max = Math.max(max, window.size());
        }
        return max;
    }

    @Test
    void onlyOwnersReplyAsOwners() {
        start();
        advanceMillis(10_000);
        for (int i = 0; i < GATEWAYS; i++) {
            boolean owner = i == owner(0) || i == owner(1);
            assertThat(mGateways.get(i).reserve(WORKSPACE, begunRequest(0)).fromOwner())
                    .isEqualTo(owner);
        }
    }

    /**
     * In a workspace at its limit, new programs must not use the tokens that running programs need.
     */
    @Test
    void newProgramsLeavePartOfTheBurst() {
        start();
        advanceMillis(1_000);
        WorkspaceRates owner = mGateways.get(owner(0));
        RateRequest newProgramRequest = new RateRequest(true, 0);
        int admittedNew = 0;
        while (owner.reserve(WORKSPACE, newProgramRequest).granted()) {
            admittedNew++;
        }
        int admittedBegun = 0;
        while (owner.reserve(WORKSPACE, begunRequest(0)).granted()) {
            admittedBegun++;
        }
        assertThat(admittedNew).isEqualTo(7);
        assertThat(admittedBegun).isEqualTo(3);
        RateGrant later = owner.reserve(WORKSPACE, new RateRequest(true, 150));
        assertThat(later).isEqualTo(new RateGrant(false, 182));
    }

    @Test
    void waitingRequestsReserveSuccessiveTokens() {
        start();
        WorkspaceRates owner = mGateways.get(owner(0));
        assertThat(owner.reserve(WORKSPACE, begunRequest(1_000)))
                .isEqualTo(new RateGrant(true, 46));
        assertThat(owner.reserve(WORKSPACE, begunRequest(1_000)))
                .isEqualTo(new RateGrant(true, 91));
        assertThat(owner.reserve(WORKSPACE, begunRequest(100)))
                .isEqualTo(new RateGrant(false, 137));
        advanceMillis(50);
        assertThat(owner.reserve(WORKSPACE, begunRequest(100))).isEqualTo(new RateGrant(true, 87));
    }

    @Test
    void refundedTokenExpires() {
        start();
        mGateways.get(0).refund(WORKSPACE);
        mGateways.get(0).refund(WORKSPACE);
        assertThat(mGateways.get(0).acquireRefunded(WORKSPACE)).isTrue();
        assertThat(mGateways.get(0).acquireRefunded(WORKSPACE)).isFalse();
        mGateways.get(0).refund(WORKSPACE);
        advanceMillis(1_000);
        assertThat(mGateways.get(0).acquireRefunded(WORKSPACE)).isFalse();
    }
}
