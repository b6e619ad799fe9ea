package org.heathercourse.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.stream.Stream;
import org.heathercourse.core.model.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against tokens that are created when shares change: a workspace would exceed its rate
 * (promise P8).
 */
class ShareConservationTest {
    private static final int SEEDS = 100;
    private static final int SECONDS = 120;

    /** Fails if lost, duplicated or reordered messages let the shares exceed the limits. */
    @Test
    void shareSumsStayWithinLimitsForAnyInterleaving() {
        double usedRatio = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ShareSimulation simulation =
                    new ShareSimulation(seed, new ShareSimulation.Factory() {});
            assertThat(simulation.run(SECONDS)).as("seed " + seed).isEmpty();
            usedRatio += simulation.usedRateRatio() / SEEDS;
        }
        // A ledger that grants nothing would pass the check above.
        assertThat(usedRatio).isGreaterThan(0.25);
    }

    /** Fails if the simulation does not detect that one of the rules is violated. */
    @ParameterizedTest
    @MethodSource("overriddenRules")
    void overriddenRuleIsDetected(Map.Entry<String, ShareSimulation.Factory> overridden) {
        long failures = 0;
        for (long seed = 1; seed <= SEEDS && failures == 0; seed++) {
            failures +=
                    new ShareSimulation(seed, overridden.getValue()).run(SECONDS).isEmpty() ? 0 : 1;
        }
        assertThat(failures).as(overridden.getKey()).isPositive();
    }

    static Stream<Map.Entry<String, ShareSimulation.Factory>> overriddenRules() {
        return Stream.of(
                ledger("a decrease is counted before it is reported", CountsDecreaseAtOnce::new),
                ledger("pending capacity is not counted", IgnoresPendingCapacity::new),
                ledger("a share expires too early at the grantor", ExpiresEarly::new),
                ledger("an outdated request is served", ServesOutdated::new),
                ledger("a duplicate request is served again", ServesDuplicates::new),
                ledger("any request confirms the last reply", AlwaysConfirms::new),
                ledger("a report from before the takeover is adopted", AdoptsOldReports::new),
                ledger("a new grantor skips the settling period", SkipsSettling::new),
                holder("a reply to an older request is adopted", AcceptsOldReplies::new),
                holder("validity is counted from the reply", ValidFromReply::new));
    }

    private interface LedgerFactory {
        ShareLedger create(long fence, double rate, double burst, long nowNanos);
    }

    private interface HolderFactory {
        HeldShare create(VmId vm, long incarnation, long nowNanos);
    }

    private static Map.Entry<String, ShareSimulation.Factory> ledger(
            String name, LedgerFactory factory) {
        return Map.entry(
                name,
                new ShareSimulation.Factory() {
                    @Override
                    public ShareLedger ledger(
                            long fence, double rate, double burst, long nowNanos) {
                        return factory.create(fence, rate, burst, nowNanos);
                    }
                });
    }

    private static Map.Entry<String, ShareSimulation.Factory> holder(
            String name, HolderFactory factory) {
        return Map.entry(
                name,
                new ShareSimulation.Factory() {
                    @Override
                    public HeldShare holder(VmId vm, long incarnation, long nowNanos) {
                        return factory.create(vm, incarnation, nowNanos);
                    }
                });
    }

    private static final class CountsDecreaseAtOnce extends ShareLedger {
        CountsDecreaseAtOnce(long fence, double rate, double burst, long nowNanos) {
            super(fence, rate, burst, nowNanos);
        }

        @Override
        double countedRate(ShareEntry entry) {
            return entry.lastGrant == null ? entry.rate : entry.lastGrant.ratePerSecond();
        }
    }

    private static final class IgnoresPendingCapacity extends ShareLedger {
        IgnoresPendingCapacity(long fence, double rate, double burst, long nowNanos) {
            super(fence, rate, burst, nowNanos);
        }

        @Override
        double countedCapacity(ShareEntry entry) {
            return entry.capacity;
        }
    }

    private static final class ExpiresEarly extends ShareLedger {
        ExpiresEarly(long fence, double rate, double burst, long nowNanos) {
            super(fence, rate, burst, nowNanos);
        }

        @Override
        boolean isExpired(ShareEntry entry, long nowNanos) {
            return nowNanos - entry.receivedNanos >= VALID_NANOS / 20;
        }
    }

    private static final class ServesOutdated extends ShareLedger {
        ServesOutdated(long fence, double rate, double burst, long nowNanos) {
            super(fence, rate, burst, nowNanos);
        }

        @Override
        boolean isOutdated(ShareEntry entry, ShareRenewal renewal) {
            return false;
        }
    }

    private static final class ServesDuplicates extends ShareLedger {
        ServesDuplicates(long fence, double rate, double burst, long nowNanos) {
            super(fence, rate, burst, nowNanos);
        }

        @Override
        boolean isRepeated(ShareEntry entry, ShareRenewal renewal) {
            return false;
        }
    }

    private static final class AlwaysConfirms extends ShareLedger {
        AlwaysConfirms(long fence, double rate, double burst, long nowNanos) {
            super(fence, rate, burst, nowNanos);
        }

        @Override
        boolean confirmsAdoption(ShareRenewal renewal, ShareGrant pending) {
            return true;
        }
    }

    private static final class AdoptsOldReports extends ShareLedger {
        AdoptsOldReports(long fence, double rate, double burst, long nowNanos) {
            super(fence, rate, burst, nowNanos);
        }

        @Override
        boolean isUpToDate(ShareRenewal renewal) {
            return true;
        }
    }

    private static final class SkipsSettling extends ShareLedger {
        SkipsSettling(long fence, double rate, double burst, long nowNanos) {
            super(fence, rate, burst, nowNanos);
        }

        @Override
        long settleNanos() {
            return 0;
        }
    }

    private static final class AcceptsOldReplies extends HeldShare {
        AcceptsOldReplies(VmId vm, long incarnation, long nowNanos) {
            super(vm, incarnation, nowNanos);
        }

        @Override
        boolean accepts(long number, ShareGrant grant) {
            return true;
        }
    }

    private static final class ValidFromReply extends HeldShare {
        ValidFromReply(VmId vm, long incarnation, long nowNanos) {
            super(vm, incarnation, nowNanos);
        }

        @Override
        long validFrom(long sentNanos, long receivedNanos) {
            return receivedNanos;
        }
    }
}
