package org.heathercourse.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import org.heathercourse.core.model.VmId;
import org.junit.jupiter.api.Test;

/** Guards against keys that are honoured after their withdrawal (P7) or refused without need. */
class FreshnessRulesTest {
    private static final long BOUND_MILLIS = 5_000;
    private static final int SEEDS = 40;
    private static final int STEPS = 6_000;

    private static long run(long seed, FreshnessWorld world) {
        Random random = new Random(seed * 7);
        long longest = 0;
        for (int i = 0; i < STEPS; i++) {
            if (random.nextInt(200) == 0) {
                world.disturb();
            }
            if (random.nextInt(150) == 0) {
                world.change(random.nextInt(FreshnessWorld.DAEMONS));
            }
            world.step();
            longest = Math.max(longest, world.longestHonouredMillis());
        }
        return longest;
    }

    /** Fails if any partition lets a daemon honour a key for more than 5 s after acceptance. */
    @Test
    void noDaemonHonoursWithdrawnKeysBeyondTheBound() {
        long accepted = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            FreshnessWorld world = new FreshnessWorld(seed, FreshnessRules::new);
            assertThat(run(seed, world)).as("seed " + seed).isLessThanOrEqualTo(BOUND_MILLIS);
            accepted += world.accepted();
        }
        assertThat(accepted).as("changes accepted in all runs").isGreaterThan(SEEDS * 5);
    }

    /** Fails if the check above would not notice that a rule is missing. */
    @Test
    void eachRuleIsNeeded() {
        assertThat(worst(Minority::new, true)).as("a minority suffices").isTrue();
        assertThat(worst(IgnoresNewer::new, true)).as("newer revisions are ignored").isTrue();
        assertThat(worst(ForgetsAge::new, true)).as("evidence does not age").isTrue();
        assertThat(worst(FreshnessRules::new, false)).as("no acknowledgements").isTrue();
    }

    private static boolean worst(BiFunction<VmId, Long, FreshnessRules> rules, boolean acks) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            FreshnessWorld world = new FreshnessWorld(seed, rules);
            if (run(seed, acks ? world : world.withoutAcknowledgements()) > BOUND_MILLIS) {
                return true;
            }
        }
        return false;
    }

    /** Fails if an outage of the store alone makes daemons refuse. */
    @Test
    void storeOutageAloneKeepsAllFresh() {
        FreshnessWorld world = new FreshnessWorld(1, FreshnessRules::new).withoutLoss();
        for (int i = 0; i < 500; i++) {
            world.step();
        }
        Arrays.fill(world.mStoreReachable, false);
        for (int i = 0; i < 2_000; i++) {
            world.step();
            for (FreshnessRules rules : world.mRules) {
                assertThat(rules.isFresh(world.now())).isTrue();
            }
        }
        assertThat(world.mRules[0].isStoreDownForMajority(world.now())).isTrue();
    }

    /** Fails if a daemon that hears from nobody goes on honouring keys. */
    @Test
    void daemonAloneStopsWithinTheBound() {
        FreshnessWorld world = new FreshnessWorld(1, FreshnessRules::new).withoutLoss();
        for (int i = 0; i < 500; i++) {
            world.step();
        }
        world.mSide[0] = 1;
        world.mStoreReachable[0] = false;
        for (int i = 0; i < 3_200 / 20 + 1; i++) {
            world.step();
        }
        assertThat(world.mRules[0].isFresh(world.now())).isFalse();
        assertThat(world.mRules[0].isStoreDownForMajority(world.now())).isFalse();
        assertThat(world.mRules[1].isFresh(world.now())).isTrue();
        world.mStoreReachable[0] = true;
        for (int i = 0; i < 100; i++) {
            world.step();
        }
        assertThat(world.mRules[0].isFresh(world.now())).isTrue();
    }

    /** Fails if a daemon without store and majority cannot live on the reads of one peer. */
    @Test
    void evidenceOfOnePeerIsPassedOnWithItsAge() {
        FreshnessRules rules = new FreshnessRules(new VmId("a"), 4);
        VmId peer = new VmId("b");
        rules.setDaemons(Set.of(new VmId("a"), peer, new VmId("c"), new VmId("d"), new VmId("e")));
        rules.recordPeerStatus(peer, 10_000_000_000L, 4, 1_000);
        assertThat(rules.isFresh(11_900_000_000L)).isTrue();
        assertThat(rules.storeAgeMillis(11_000_000_000L)).isBetween(2_000L, 2_002L);
        assertThat(rules.isFresh(12_100_000_000L)).isFalse();
        rules.recordPeerStatus(peer, 12_000_000_000L, 5, 0);
        assertThat(rules.isFresh(12_000_000_000L)).isFalse();
        assertThat(rules.storeAgeMillis(12_000_000_000L)).isEqualTo(-1);
        rules.recordAppliedRevision(5);
        assertThat(rules.isFresh(12_000_000_000L)).isTrue();
    }

    /** Fails if a daemon that knows only itself yet takes itself for the majority. */
    @Test
    void startingDaemonNeedsRead() {
        FreshnessRules rules = new FreshnessRules(new VmId("a"), 0);
        assertThat(rules.isFresh(1_000_000_000L)).isFalse();
        assertThat(rules.canAcceptChange(1_000_000_000L)).isFalse();
        rules.recordStoreRead(1_000_000_000L, 0);
        assertThat(rules.isFresh(9_000_000_000L)).isTrue();
    }

    private static final class Minority extends FreshnessRules {
        Minority(VmId self, long revision) {
            super(self, revision);
        }

        @Override
        public int majority() {
            return 2;
        }
    }

    private static final class IgnoresNewer extends FreshnessRules {
        IgnoresNewer(VmId self, long revision) {
            super(self, revision);
        }

        @Override
        public void recordKnownRevision(long revision) {
            // Forgets that newer revisions exist.
        }
    }

    private static final class ForgetsAge extends FreshnessRules {
        ForgetsAge(VmId self, long revision) {
            super(self, revision);
        }

        @Override
        public void recordPeerStatus(
                VmId peer, long sentNanos, long revision, long storeAgeMillis) {
            super.recordPeerStatus(peer, sentNanos, revision, Math.min(0, storeAgeMillis));
        }
    }
}
