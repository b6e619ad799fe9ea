package org.heathercourse.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.heathercourse.core.model.VmId;
import org.heathercourse.testing.bench.CeilingCheck;
import org.junit.jupiter.api.Test;

/** Guards against shares that do not follow demand, takeovers or changes of the limits. */
class SharePolicyTest {
    private static final long MILLI = 1_000_000L;

    private long mNow;

    /** Runs holders with even arrivals over a perfect network; returns the admissions of each. */
    private int[] run(ShareLedger ledger, HeldShare[] holders, double[] perSecond, int millis) {
        int[] admitted = new int[holders.length];
        double[] due = new double[holders.length];
        for (long end = mNow + millis * MILLI; mNow < end; mNow += 10 * MILLI) {
            for (int i = 0; i < holders.length; i++) {
                for (due[i] += perSecond[i] / 100; due[i] >= 1; due[i]--) {
                    admitted[i] += holders[i].tryAcquire(mNow) ? 1 : 0;
                }
                if (holders[i].renewalDue(mNow, 0)) {
                    ShareRenewal ask = holders[i].createRenewal(mNow, 0);
                    long now = mNow;
                    HeldShare holder = holders[i];
                    ledger.onRenewal(ask, now).ifPresent(g -> holder.onGrant(ask.number(), g, now));
                }
            }
        }
        return admitted;
    }

    private HeldShare[] holders(int count) {
        HeldShare[] holders = new HeldShare[count];
        for (int i = 0; i < count; i++) {
            holders[i] = new HeldShare(new VmId("vm-" + i), 1, mNow);
        }
        return holders;
    }

    private static ShareRenewal report(String vm, double rate, double capacity, long fence) {
        return new ShareRenewal(new VmId(vm), 1, 5, 1, 7, rate, capacity, 0, 0, 5_000, fence, 5, 0);
    }

    /** Fails if a workspace whose traffic sits on one VM is held to a part of its rate. */
    @Test
    void oneVmGetsAlmostTheWholeRateAndMovedTrafficFollows() {
        ShareLedger ledger = new ShareLedger(1, 100, 100, mNow);
        HeldShare[] holders = holders(4);
        run(ledger, holders, new double[] {300, 0, 0, 0}, 3_000);
        assertThat(run(ledger, holders, new double[] {300, 0, 0, 0}, 5_000)[0]).isGreaterThan(475);
        run(ledger, holders, new double[] {0, 0, 300, 0}, 1_500);
        assertThat(run(ledger, holders, new double[] {0, 0, 300, 0}, 5_000)[2]).isGreaterThan(475);
    }

    /** Fails if a VM with little traffic starves beside one with much. */
    @Test
    void smallDemandIsServedInFull() {
        ShareLedger ledger = new ShareLedger(1, 100, 100, mNow);
        HeldShare[] holders = holders(2);
        run(ledger, holders, new double[] {500, 20}, 3_000);
        int[] admitted = run(ledger, holders, new double[] {500, 20}, 10_000);
        assertThat(admitted[1]).isGreaterThan(190);
        assertThat(admitted[0] + admitted[1]).isBetween(950, 1_010);
    }

    /** Fails if a grantor counts more reported shares than there can be, or the wrong ones. */
    @Test
    void reportsAboveTheRateAndOfOtherGrantorsAreRefused() {
        ShareLedger ledger = new ShareLedger(5, 20, 30, mNow);
        ledger.onRenewal(report("a", 15, 15, 4), mNow);
        assertThat(ledger.outstandingRate()).isEqualTo(20);
        ledger.onRenewal(report("b", 15, 15, 4), mNow);
        ledger.onRenewal(report("c", 5, 5, 5), mNow);
        ledger.onRenewal(report("d", 4, 4, 3), mNow);
        // a and d are known, the rest is still unknown: nothing is left for the central bucket.
        assertThat(ledger.centralRatePerSecond(mNow)).isZero();
        assertThat(ledger.outstandingRate()).isEqualTo(20);
        mNow += ShareLedger.VALID_NANOS;
        assertThat(ledger.centralRatePerSecond(mNow)).isEqualTo(20);
    }

    /** Fails if the successor of a grantor interrupts holders or starts with a full bucket. */
    @Test
    void takeoverKeepsReportedShares() {
        ShareLedger first = new ShareLedger(1, 100, 100, mNow);
        HeldShare[] holders = holders(1);
        run(first, holders, new double[] {90}, 5_000);
        ShareLedger second = new ShareLedger(2, 100, 100, mNow);
        assertThat(second.centralTokens(mNow)).isZero();
        assertThat(run(second, holders, new double[] {90}, 9_000)[0]).isGreaterThan(780);
    }

    /** Fails if a share that a new grantor refused to count lives on under the new grantor. */
    @Test
    void refusedShareOfAnEarlierGrantorEnds() {
        ShareLedger first = new ShareLedger(1, 100, 100, mNow);
        HeldShare[] holders = holders(1);
        run(first, holders, new double[] {90}, 5_000);
        assertThat(holders[0].ratePerSecond()).isGreaterThan(50);
        ShareLedger second = new ShareLedger(2, 20, 20, mNow);
        run(second, holders, new double[] {90}, 1_500);
        assertThat(holders[0].ratePerSecond()).isZero();
    }

    /** Fails if a process that forgot an idle share is taken for its own past for 10 s. */
    @Test
    void numbersOfLaterHolderOfOneProcessAreServed() {
        ShareLedger ledger = new ShareLedger(1, 100, 100, mNow);
        HeldShare[] holders = holders(1);
        run(ledger, holders, new double[] {50}, 3_000);
        holders[0] = new HeldShare(new VmId("vm-0"), 1, 1L << 32, mNow);
        assertThat(run(ledger, holders, new double[] {50}, 2_000)[0]).isGreaterThan(95);
    }

    /** Fails if a ledger that is opened late starts to fill only then. */
    @Test
    void ledgerOpenedLateHasFilledSinceTheWait() {
        ShareLedger ledger = new ShareLedger(2, 10, 100, mNow);
        mNow += ShareLedger.VALID_NANOS + 3_000 * MILLI;
        assertThat(ledger.centralTokens(mNow)).isBetween(29.9, 30.1);
    }

    /** Fails if requests wait although the grantor has just shown that it has no tokens. */
    @Test
    void requestsWaitOnlyWhenTokensMayCome() {
        HeldShare holder = new HeldShare(new VmId("a"), 1, mNow);
        assertThat(holder.shouldWaitForToken(mNow, 0, 300 * MILLI)).isTrue();
        holder.onGrant(
                holder.createRenewal(mNow, 1).number(),
                new ShareGrant(1, 0, 0, 0, 10_000, 1),
                mNow);
        assertThat(holder.shouldWaitForToken(mNow, 0, 300 * MILLI)).isFalse();
        holder.onGrant(
                holder.createRenewal(mNow, 1).number(),
                new ShareGrant(2, 5, 4, 0, 10_000, 1),
                mNow);
        assertThat(holder.shouldWaitForToken(mNow, 0, 300 * MILLI)).isTrue();
        assertThat(holder.shouldWaitForToken(mNow, 1, 300 * MILLI)).isFalse();
        assertThat(holder.retryAfterNanos(mNow)).isEqualTo(200 * MILLI);
    }

    /** Fails if a lower limit is not in force after 10 s or a higher one waits. */
    @Test
    void changedLimitsTakeEffect() {
        ShareLedger ledger = new ShareLedger(1, 100, 100, mNow);
        HeldShare[] holders = holders(3);
        double[] demand = {200, 200, 200};
        run(ledger, holders, demand, 5_000);
        ledger.reconfigure(10, 10, mNow);
        run(ledger, holders, demand, 10_000);
        int[] admitted = run(ledger, holders, demand, 10_000);
        assertThat(admitted[0] + admitted[1] + admitted[2]).isBetween(90, 110);
        ledger.reconfigure(100, 100, mNow);
        assertThat(ledger.centralRatePerSecond(mNow)).isGreaterThanOrEqualTo(90);
    }

    /** Fails if holders without demand keep shares and asking for ever. */
    @Test
    void idleHolderDropsOutAndGivesBack() {
        ShareLedger ledger = new ShareLedger(1, 100, 100, mNow);
        HeldShare[] holders = holders(2);
        run(ledger, holders, new double[] {50, 50}, 3_000);
        run(ledger, holders, new double[] {50, 0}, 6_000);
        assertThat(holders[1].ratePerSecond()).isLessThan(5);
        run(ledger, holders, new double[] {50, 0}, 30_000);
        assertThat(holders[1].isRemovable(mNow)).isTrue();
        assertThat(holders[1].renewalDue(mNow, 0)).isFalse();
        run(ledger, holders, new double[] {50, 0}, 11_000);
        assertThat(ledger.holderCount()).isEqualTo(1);
    }

    /** Fails if the check of the ceiling misses an excess over a long or a short interval. */
    @Test
    void ceilingCheckCoversAllIntervals() {
        CeilingCheck burst = new CeilingCheck(10, 3);
        for (int i = 0; i < 4; i++) {
            burst.admitted(5_000 * MILLI);
        }
        assertThat(burst.over()).isEqualTo(1);
        CeilingCheck slow = new CeilingCheck(10, 3);
        for (int i = 0; i < 100; i++) {
            slow.admitted(i * 95 * MILLI);
        }
        assertThat(slow.over()).isPositive();
        CeilingCheck exact = new CeilingCheck(10, 3);
        for (int i = 0; i < 100; i++) {
            exact.admitted(i * 100 * MILLI);
        }
        assertThat(exact.over()).isZero();
    }
}
