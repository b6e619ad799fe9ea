package org.heathercourse.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.stream.Stream;
import org.heathercourse.core.model.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against tokens that are created when shares change, which would break promise P8. */
class ShareConservationTest {
    private static final int SEEDS = 100;
    private static final int SECONDS = 120;

    /** Fails if any interleaving of lost, repeated and reordered messages exceeds the ceiling. */
    @Test
    void noInterleavingExceedsTheCeiling() {
        double used = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ShareWorld world = new ShareWorld(seed, new ShareWorld.Parts() {});
            assertThat(world.run(SECONDS)).as("seed " + seed).isEmpty();
            used += world.usedPart() / SEEDS;
        }
        // A ledger that grants nothing would pass the check above.
        assertThat(used).isGreaterThan(0.25);
    }

    /** Fails if the check above would not notice that a rule is missing. */
    @ParameterizedTest
    @MethodSource("brokenRules")
    void eachRuleIsNeeded(Map.Entry<String, ShareWorld.Parts> broken) {
        long noticed = 0;
        for (long seed = 1; seed <= SEEDS && noticed == 0; seed++) {
            noticed += new ShareWorld(seed, broken.getValue()).run(SECONDS).isEmpty() ? 0 : 1;
        }
        assertThat(noticed).as(broken.getKey()).isPositive();
    }

    static Stream<Map.Entry<String, ShareWorld.Parts>> brokenRules() {
        return Stream.of(
                ledger("a decrease counts before it is reported", DecreaseAtOnce::new),
                ledger("capacity under way does not count", NothingUnderWay::new),
                ledger("a share expires too early at the grantor", EarlyExpiry::new),
                ledger("an overtaken request is served", ServesOvertaken::new),
                ledger("a repeated request is served anew", ServesRepeated::new),
                ledger("any request confirms the last reply", ConfirmsAlways::new),
                ledger("a report from before the takeover is adopted", AdoptsOldReports::new),
                ledger("a new grantor does not wait", NoSettling::new),
                holder("a reply to an older request is adopted", AcceptsOld::new),
                holder("validity counts from the reply", ValidFromReply::new));
    }

    private interface LedgerMaker {
        ShareLedger make(long fence, double rate, double burst, long now);
    }

    private interface HolderMaker {
        HeldShare make(VmId vm, long incarnation, long now);
    }

    private static Map.Entry<String, ShareWorld.Parts> ledger(String name, LedgerMaker maker) {
        return Map.entry(
                name,
                new ShareWorld.Parts() {
                    @Override
                    public ShareLedger ledger(long fence, double rate, double burst, long now) {
                        return maker.make(fence, rate, burst, now);
                    }
                });
    }

    private static Map.Entry<String, ShareWorld.Parts> holder(String name, HolderMaker maker) {
        return Map.entry(
                name,
                new ShareWorld.Parts() {
                    @Override
                    public HeldShare holder(VmId vm, long incarnation, long now) {
                        return maker.make(vm, incarnation, now);
                    }
                });
    }

    private static final class DecreaseAtOnce extends ShareLedger {
        DecreaseAtOnce(long fence, double rate, double burst, long now) {
            super(fence, rate, burst, now);
        }

        @Override
        double countedRate(ShareEntry entry) {
            return entry.lastGrant == null ? entry.rate : entry.lastGrant.ratePerSecond();
        }
    }

    private static final class NothingUnderWay extends ShareLedger {
        NothingUnderWay(long fence, double rate, double burst, long now) {
            super(fence, rate, burst, now);
        }

        @Override
        double countedCapacity(ShareEntry entry) {
            return entry.capacity;
        }
    }

    private static final class EarlyExpiry extends ShareLedger {
        EarlyExpiry(long fence, double rate, double burst, long now) {
            super(fence, rate, burst, now);
        }

        @Override
        boolean expired(ShareEntry entry, long nowNanos) {
            return nowNanos - entry.receivedNanos >= VALID_NANOS / 20;
        }
    }

    private static final class ServesOvertaken extends ShareLedger {
        ServesOvertaken(long fence, double rate, double burst, long now) {
            super(fence, rate, burst, now);
        }

        @Override
        boolean overtaken(ShareEntry entry, ShareRenewal ask) {
            return false;
        }
    }

    private static final class ServesRepeated extends ShareLedger {
        ServesRepeated(long fence, double rate, double burst, long now) {
            super(fence, rate, burst, now);
        }

        @Override
        boolean repeated(ShareEntry entry, ShareRenewal ask) {
            return false;
        }
    }

    private static final class ConfirmsAlways extends ShareLedger {
        ConfirmsAlways(long fence, double rate, double burst, long now) {
            super(fence, rate, burst, now);
        }

        @Override
        boolean confirms(ShareRenewal ask, ShareGrant pending) {
            return true;
        }
    }

    private static final class AdoptsOldReports extends ShareLedger {
        AdoptsOldReports(long fence, double rate, double burst, long now) {
            super(fence, rate, burst, now);
        }

        @Override
        boolean upToDate(ShareRenewal ask) {
            return true;
        }
    }

    private static final class NoSettling extends ShareLedger {
        NoSettling(long fence, double rate, double burst, long now) {
            super(fence, rate, burst, now);
        }

        @Override
        long settleNanos() {
            return 0;
        }
    }

    private static final class AcceptsOld extends HeldShare {
        AcceptsOld(VmId vm, long incarnation, long now) {
            super(vm, incarnation, now);
        }

        @Override
        boolean accepts(long number, ShareGrant grant) {
            return true;
        }
    }

    private static final class ValidFromReply extends HeldShare {
        ValidFromReply(VmId vm, long incarnation, long now) {
            super(vm, incarnation, now);
        }

        @Override
        long validFrom(long askedNanos, long receivedNanos) {
            return receivedNanos;
        }
    }
}
