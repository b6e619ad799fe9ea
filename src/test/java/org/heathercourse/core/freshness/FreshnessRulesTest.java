package org.heathercourse.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import org.heathercourse.core.model.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against keys that are accepted too long after their withdrawal (P7) or rejected
 * needlessly.
 */
class FreshnessRulesTest {
    private static final long MAX_WITHDRAWAL_MILLIS = 5_000;
    private static final int SEEDS = 40;
    private static final int STEPS = 6_000;

    private static long run(long seed, FreshnessSimulation simulation) {
        Random random = new Random(seed * 7);
        long longestMillis = 0;
        for (int i = 0; i < STEPS; i++) {
            if (random.nextInt(200) == 0) {
                simulation.changeFaults();
            }
            if (random.nextInt(150) == 0) {
                simulation.commitChange(random.nextInt(FreshnessSimulation.DAEMONS));
            }
            simulation.step();
            longestMillis = Math.max(longestMillis, simulation.longestOutdatedMillis());
        }
        return longestMillis;
    }

    /**
     * Fails if a partition lets a daemon accept a key for more than 5 s after its withdrawal was
     * accepted.
     */
    @Test
    void withdrawnKeysAreRejectedWithinTheLimit() {
        long acceptedChanges = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            FreshnessSimulation simulation = new FreshnessSimulation(seed, FreshnessRules::new);
            assertThat(run(seed, simulation))
                    .as("seed " + seed)
                    .isLessThanOrEqualTo(MAX_WITHDRAWAL_MILLIS);
            acceptedChanges += simulation.acceptedRevision();
        }
        assertThat(acceptedChanges).as("changes accepted in all runs").isGreaterThan(SEEDS * 5);
    }

    /** Fails if the simulation does not detect that one of the rules is violated. */
    @Test
    void overriddenRuleIsDetected() {
        assertThat(exceedsLimit(MinoritySuffices::new, true)).as("a minority suffices").isTrue();
        assertThat(exceedsLimit(IgnoresNewerRevisions::new, true))
                .as("newer revisions are ignored")
                .isTrue();
        assertThat(exceedsLimit(IgnoresEvidenceAge::new, true))
                .as("evidence does not age")
                .isTrue();
        assertThat(exceedsLimit(FreshnessRules::new, false)).as("no acknowledgements").isTrue();
    }

    private static boolean exceedsLimit(
            BiFunction<VmId, Long, FreshnessRules> rules, boolean acknowledged) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            FreshnessSimulation simulation = new FreshnessSimulation(seed, rules);
            if (run(seed, acknowledged ? simulation : simulation.withoutAcknowledgements())
                    > MAX_WITHDRAWAL_MILLIS) {
                return true;
            }
        }
        return false;
    }

    /** Fails if an outage of the store alone makes daemons reject keys. */
    @Test
    void daemonsStayFreshDuringStoreOutage() {
        FreshnessSimulation simulation =
                new FreshnessSimulation(1, FreshnessRules::new).withoutMessageLoss();
        for (int i = 0; i < 500; i++) {
            simulation.step();
        }
        Arrays.fill(simulation.mStoreReachable, false);
        for (int i = 0; i < 2_000; i++) {
            simulation.step();
            for (FreshnessRules rules : simulation.mRules) {
                assertThat(rules.isFresh(simulation.nowNanos())).isTrue();
            }
        }
        assertThat(simulation.mRules[0].isStoreDownForMajority(simulation.nowNanos())).isTrue();
    }

    /** Fails if a daemon that reaches neither the store nor a peer continues to accept keys. */
    @Test
    void isolatedDaemonStopsAcceptingKeys() {
        FreshnessSimulation simulation =
                new FreshnessSimulation(1, FreshnessRules::new).withoutMessageLoss();
        for (int i = 0; i < 500; i++) {
            simulation.step();
        }
        simulation.mPartition[0] = 1;
        simulation.mStoreReachable[0] = false;
        for (int i = 0; i < 3_200 / 20 + 1; i++) {
            simulation.step();
        }
        assertThat(simulation.mRules[0].isFresh(simulation.nowNanos())).isFalse();
        assertThat(simulation.mRules[0].isStoreDownForMajority(simulation.nowNanos())).isFalse();
        assertThat(simulation.mRules[1].isFresh(simulation.nowNanos())).isTrue();
        simulation.mStoreReachable[0] = true;
        for (int i = 0; i < 100; i++) {
            simulation.step();
        }
        assertThat(simulation.mRules[0].isFresh(simulation.nowNanos())).isTrue();
    }

    /**
     * Fails if a daemon without the store and a majority cannot use the store reads of one peer.
     */
    @Test
    void evidenceOfOnePeerKeepsItsAge() {
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

    /** Fails if a starting daemon, which lists only itself, counts itself as the majority. */
    @Test
    void startingDaemonNeedsStoreRead() {
        FreshnessRules rules = new FreshnessRules(new VmId("a"), 0);
        assertThat(rules.isFresh(1_000_000_000L)).isFalse();
        assertThat(rules.canAcceptChange(1_000_000_000L)).isFalse();
        rules.recordStoreRead(1_000_000_000L, 0);
        assertThat(rules.isFresh(9_000_000_000L)).isTrue();
    }

    private static final class MinoritySuffices extends FreshnessRules {
        MinoritySuffices(VmId self, long revision) {
            super(self, revision);
        }

        @Override
        public int majority() {
            return 2;
        }
    }

    private static final class IgnoresNewerRevisions extends FreshnessRules {
        IgnoresNewerRevisions(VmId self, long revision) {
            super(self, revision);
        }

        @Override
        public void recordKnownRevision(long revision) {
            // Ignores that newer revisions exist.
        }
    }

    private static final class IgnoresEvidenceAge extends FreshnessRules {
        IgnoresEvidenceAge(VmId self, long revision) {
            super(self, revision);
        }

        @Override
        public void recordPeerStatus(
                VmId peer, long sentNanos, long revision, long storeAgeMillis) {
            super.recordPeerStatus(peer, sentNanos, revision, Math.min(0, storeAgeMillis));
        }
    }
}
