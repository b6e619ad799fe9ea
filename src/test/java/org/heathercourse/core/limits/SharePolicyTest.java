package org.heathercourse.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.heathercourse.core.model.VmId;
import org.heathercourse.testing.bench.CeilingCheck;
import org.junit.jupiter.api.Test;

/** Guards against shares that do not follow demand, takeovers or changes of the limits. */
class SharePolicyTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private long mNowNanos;

    /**
     * Runs holders with evenly spaced requests over a network without faults; returns the
     * admissions of each holder.
     */
    private int[] run(ShareLedger ledger, HeldShare[] holders, double[] perSecond, int millis) {
        int[] admitted = new int[holders.length];
        double[] pending = new double[holders.length];
        for (long endNanos = mNowNanos + millis * NANOS_PER_MILLI;
                mNowNanos < endNanos;
                mNowNanos += 10 * NANOS_PER_MILLI) {
            for (int i = 0; i < holders.length; i++) {
                for (pending[i] += perSecond[i] / 100; pending[i] >= 1; pending[i]--) {
                    admitted[i] += holders[i].tryAcquire(mNowNanos) ? 1 : 0;
                }
                if (holders[i].renewalDue(mNowNanos, 0)) {
                    ShareRenewal renewal = holders[i].createRenewal(mNowNanos, 0);
                    long nowNanos = mNowNanos;
                    HeldShare holder = holders[i];
                    ledger.onRenewal(renewal, nowNanos)
                            .ifPresent(g -> holder.onGrant(renewal.number(), g, nowNanos));
                }
            }
        }
        return admitted;
    }

    private HeldShare[] holders(int count) {
        HeldShare[] holders = new HeldShare[count];
        for (int i = 0; i < count; i++) {
            holders[i] = new HeldShare(new VmId("vm-" + i), 1, mNowNanos);
        }
        return holders;
    }

    private static ShareRenewal report(String vm, double rate, double capacity, long fence) {
        return new ShareRenewal(new VmId(vm), 1, 5, 1, 7, rate, capacity, 0, 0, 5_000, fence, 5, 0);
    }

    /** Fails if a workspace whose traffic arrives at one VM is limited to a part of its rate. */
    @Test
    void oneVmGetsAlmostTheWholeRateAndSharesFollowTraffic() {
        ShareLedger ledger = new ShareLedger(1, 100, 100, mNowNanos);
        HeldShare[] holders = holders(4);
        run(ledger, holders, new double[] {300, 0, 0, 0}, 3_000);
        assertThat(run(ledger, holders, new double[] {300, 0, 0, 0}, 5_000)[0]).isGreaterThan(475);
        run(ledger, holders, new double[] {0, 0, 300, 0}, 1_500);
        assertThat(run(ledger, holders, new double[] {0, 0, 300, 0}, 5_000)[2]).isGreaterThan(475);
    }

    /** Fails if a VM with little traffic is rejected because another one has much traffic. */
    @Test
    void smallDemandIsServedInFull() {
        ShareLedger ledger = new ShareLedger(1, 100, 100, mNowNanos);
        HeldShare[] holders = holders(2);
        run(ledger, holders, new double[] {500, 20}, 3_000);
        int[] admitted = run(ledger, holders, new double[] {500, 20}, 10_000);
        assertThat(admitted[1]).isGreaterThan(190);
        assertThat(admitted[0] + admitted[1]).isBetween(950, 1_010);
    }

    /**
     * Fails if a grantor counts reported shares beyond the rate, or shares of the wrong grantor.
     */
    @Test
    void reportsAboveTheRateAndOfOtherGrantorsAreIgnored() {
        ShareLedger ledger = new ShareLedger(5, 20, 30, mNowNanos);
        ledger.onRenewal(report("a", 15, 15, 4), mNowNanos);
        assertThat(ledger.outstandingRate()).isEqualTo(20);
        ledger.onRenewal(report("b", 15, 15, 4), mNowNanos);
        ledger.onRenewal(report("c", 5, 5, 5), mNowNanos);
        ledger.onRenewal(report("d", 4, 4, 3), mNowNanos);
        // a and d are counted; the unknown rest leaves no rate for the central bucket.
        assertThat(ledger.centralRatePerSecond(mNowNanos)).isZero();
        assertThat(ledger.outstandingRate()).isEqualTo(20);
        mNowNanos += ShareLedger.VALID_NANOS;
        assertThat(ledger.centralRatePerSecond(mNowNanos)).isEqualTo(20);
    }

    /** Fails if the successor of a grantor interrupts holders or starts with a full bucket. */
    @Test
    void takeoverKeepsReportedShares() {
        ShareLedger first = new ShareLedger(1, 100, 100, mNowNanos);
        HeldShare[] holders = holders(1);
        run(first, holders, new double[] {90}, 5_000);
        ShareLedger second = new ShareLedger(2, 100, 100, mNowNanos);
        assertThat(second.centralTokens(mNowNanos)).isZero();
        assertThat(run(second, holders, new double[] {90}, 9_000)[0]).isGreaterThan(780);
    }

    /** Fails if a share that a new grantor does not count stays in use. */
    @Test
    void ignoredShareOfAnEarlierGrantorEnds() {
        ShareLedger first = new ShareLedger(1, 100, 100, mNowNanos);
        HeldShare[] holders = holders(1);
        run(first, holders, new double[] {90}, 5_000);
        assertThat(holders[0].ratePerSecond()).isGreaterThan(50);
        ShareLedger second = new ShareLedger(2, 20, 20, mNowNanos);
        run(second, holders, new double[] {90}, 1_500);
        assertThat(holders[0].ratePerSecond()).isZero();
    }

    /** Fails if requests are ignored as outdated for 10 s after a process dropped an idle share. */
    @Test
    void requestsOfSecondHolderInOneProcessAreServed() {
        ShareLedger ledger = new ShareLedger(1, 100, 100, mNowNanos);
        HeldShare[] holders = holders(1);
        run(ledger, holders, new double[] {50}, 3_000);
        holders[0] = new HeldShare(new VmId("vm-0"), 1, 1L << 32, mNowNanos);
        assertThat(run(ledger, holders, new double[] {50}, 2_000)[0]).isGreaterThan(95);
    }

    /** Fails if a ledger that is created late does not fill from the end of the settling period. */
    @Test
    void ledgerFillsFromEndOfSettlingPeriod() {
        ShareLedger ledger = new ShareLedger(2, 10, 100, mNowNanos);
        mNowNanos += ShareLedger.VALID_NANOS + 3_000 * NANOS_PER_MILLI;
        assertThat(ledger.centralTokens(mNowNanos)).isBetween(29.9, 30.1);
    }

    /** Fails if requests wait although the grantor's last reply shows that it has no tokens. */
    @Test
    void requestsWaitOnlyIfTokensMayArrive() {
        HeldShare holder = new HeldShare(new VmId("a"), 1, mNowNanos);
        assertThat(holder.shouldWaitForToken(mNowNanos, 0, 300 * NANOS_PER_MILLI)).isTrue();
        holder.onGrant(
                holder.createRenewal(mNowNanos, 1).number(),
                new ShareGrant(1, 0, 0, 0, 10_000, 1),
                mNowNanos);
        assertThat(holder.shouldWaitForToken(mNowNanos, 0, 300 * NANOS_PER_MILLI)).isFalse();
        holder.onGrant(
                holder.createRenewal(mNowNanos, 1).number(),
                new ShareGrant(2, 5, 4, 0, 10_000, 1),
                mNowNanos);
        assertThat(holder.shouldWaitForToken(mNowNanos, 0, 300 * NANOS_PER_MILLI)).isTrue();
        assertThat(holder.shouldWaitForToken(mNowNanos, 1, 300 * NANOS_PER_MILLI)).isFalse();
        assertThat(holder.retryAfterNanos(mNowNanos)).isEqualTo(200 * NANOS_PER_MILLI);
    }

    /**
     * Fails if a lower limit is not in force after 10 s or a higher one does not take effect at
     * once.
     */
    @Test
    void changedLimitsTakeEffect() {
        ShareLedger ledger = new ShareLedger(1, 100, 100, mNowNanos);
        HeldShare[] holders = holders(3);
        double[] demand = {200, 200, 200};
        run(ledger, holders, demand, 5_000);
        ledger.reconfigure(10, 10, mNowNanos);
        run(ledger, holders, demand, 10_000);
        int[] admitted = run(ledger, holders, demand, 10_000);
        assertThat(admitted[0] + admitted[1] + admitted[2]).isBetween(90, 110);
        ledger.reconfigure(100, 100, mNowNanos);
        assertThat(ledger.centralRatePerSecond(mNowNanos)).isGreaterThanOrEqualTo(90);
    }

    /** Fails if holders without demand keep their shares and continue to send renewals. */
    @Test
    void idleHolderReturnsItsShare() {
        ShareLedger ledger = new ShareLedger(1, 100, 100, mNowNanos);
        HeldShare[] holders = holders(2);
        run(ledger, holders, new double[] {50, 50}, 3_000);
        run(ledger, holders, new double[] {50, 0}, 6_000);
        assertThat(holders[1].ratePerSecond()).isLessThan(5);
        run(ledger, holders, new double[] {50, 0}, 30_000);
        assertThat(holders[1].isRemovable(mNowNanos)).isTrue();
        assertThat(holders[1].renewalDue(mNowNanos, 0)).isFalse();
        run(ledger, holders, new double[] {50, 0}, 11_000);
        assertThat(ledger.holderCount()).isEqualTo(1);
    }

    /** Fails if the check of the limit misses an excess over a long or a short interval. */
    @Test
    void ceilingCheckCoversAllIntervals() {
        CeilingCheck burst = new CeilingCheck(10, 3);
        for (int i = 0; i < 4; i++) {
            burst.recordAdmission(5_000 * NANOS_PER_MILLI);
        }
        assertThat(burst.admissionsOverCeiling()).isEqualTo(1);
        CeilingCheck slow = new CeilingCheck(10, 3);
        for (int i = 0; i < 100; i++) {
            slow.recordAdmission(i * 95 * NANOS_PER_MILLI);
        }
        assertThat(slow.admissionsOverCeiling()).isPositive();
        CeilingCheck exact = new CeilingCheck(10, 3);
        for (int i = 0; i < 100; i++) {
            exact.recordAdmission(i * 100 * NANOS_PER_MILLI);
        }
        assertThat(exact.admissionsOverCeiling()).isZero();
    }
}
