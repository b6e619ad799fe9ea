package org.heathercourse.core.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.heathercourse.core.model.VmId;
import org.heathercourse.testing.bench.CeilingCheck;

/**
 * Simulates a ledger and holders that use all their tokens, over a network that loses, duplicates,
 * delays and reorders messages. Grantors and limits change at random, and holders are disconnected.
 * Sums up rates, capacities and admissions after each step.
 */
final class ShareSimulation {
    private static final long STEP_NANOS = 20_000_000L;
    private static final int HOLDERS = 4;

    /** Time after which a lower limit is in force: the validity of a share. */
    private static final long LIMIT_DELAY_NANOS = 10_000_000_000L;

    /** Creates ledgers and holders, so that tests can override one of their rules. */
    interface Factory {
        default ShareLedger ledger(long fence, double rate, double burst, long nowNanos) {
            return new ShareLedger(fence, rate, burst, nowNanos);
        }

        default HeldShare holder(VmId vm, long incarnation, long nowNanos) {
            return new HeldShare(vm, incarnation, nowNanos);
        }
    }

    private record Message(long atNanos, int order, Runnable action)
            implements Comparable<Message> {
        @Override
        public int compareTo(Message other) {
            return atNanos != other.atNanos
                    ? Long.compare(atNanos, other.atNanos)
                    : order - other.order;
        }
    }

    private final Random mRandom;
    private final Factory mFactory;
    private final PriorityQueue<Message> mMessages = new PriorityQueue<>();
    private final List<HeldShare> mHolders = new ArrayList<>();
    private final long[] mDisconnectedUntilNanos = new long[HOLDERS];
    private final boolean[] mHasDemand = new boolean[HOLDERS];

    /**
     * With a low rate holders get tokens with each renewal; with a high rate they get a fill rate.
     */
    private final double mRate;

    private final double mBurst;
    private final CeilingCheck mCeiling;
    private long mNowNanos;
    private int mNextOrder;
    private long mFence = 1;
    private ShareLedger mLedger;
    private double mLimitRatio = 1;
    private double mPreviousLimitRatio = 1;
    private long mLimitChangedNanos;
    private double mMaxRate;
    private double mMaxCapacity;

    ShareSimulation(long seed, Factory factory) {
        mRandom = new Random(seed);
        mFactory = factory;
        mRate = seed % 2 == 0 ? 20 : 60;
        mBurst = seed % 2 == 0 ? 30 : 90;
        mCeiling = new CeilingCheck(mRate, mBurst);
        mLedger = factory.ledger(mFence, mRate, mBurst, 0);
        for (int i = 0; i < HOLDERS; i++) {
            mHolders.add(factory.holder(new VmId("vm-" + i), 1, 0));
        }
    }

    /**
     * Runs for a number of simulated seconds; returns a description of the limit that was exceeded,
     * or an empty string.
     */
    String run(int seconds) {
        for (long endNanos = mNowNanos + seconds * 1_000_000_000L;
                mNowNanos < endNanos;
                mNowNanos += STEP_NANOS) {
            while (!mMessages.isEmpty() && mMessages.peek().atNanos() <= mNowNanos) {
                mMessages.poll().action().run();
            }
            if (mRandom.nextInt(600) == 0) {
                mFence++;
                mLedger =
                        mFactory.ledger(
                                mFence, mRate * mLimitRatio, mBurst * mLimitRatio, mNowNanos);
            }
            if (mRandom.nextInt(400) == 0) {
                int index = mRandom.nextInt(HOLDERS);
                mHolders.set(
                        index, mFactory.holder(new VmId("vm-" + index), mNextOrder + 2, mNowNanos));
            }
            if (mNowNanos - mLimitChangedNanos > LIMIT_DELAY_NANOS && mRandom.nextInt(1_000) == 0) {
                mPreviousLimitRatio = mLimitRatio;
                mLimitRatio = mLimitRatio == 1 ? 0.4 : 1;
                mLimitChangedNanos = mNowNanos;
                mLedger.reconfigure(mRate * mLimitRatio, mBurst * mLimitRatio, mNowNanos);
            }
            if (mRandom.nextInt(800) == 0) {
                mDisconnectedUntilNanos[mRandom.nextInt(HOLDERS)] = mNowNanos + 12_000_000_000L;
            }
            for (int i = 0; i < HOLDERS; i++) {
                step(i);
            }
            checkSums();
        }
        if (mMaxRate > mRate + 1e-6) {
            return "fill rates add up to " + mMaxRate;
        }
        if (mMaxCapacity > mBurst + 1e-6) {
            return "capacities add up to " + mMaxCapacity;
        }
        return mCeiling.admissionsOverCeiling() == 0
                ? ""
                : mCeiling.admissionsOverCeiling() + " admissions over the ceiling";
    }

    /** Returns the ratio of admissions to the admissions that the full rate allows. */
    double usedRateRatio() {
        return mCeiling.admissions() * 1e9 / mNowNanos / mRate;
    }

    private void step(int index) {
        HeldShare holder = mHolders.get(index);
        if (mRandom.nextInt(150) == 0) {
            mHasDemand[index] = !mHasDemand[index];
        }
        if (mHasDemand[index] && mRandom.nextInt(4) == 0) {
            while (holder.tryAcquire(mNowNanos)) {
                mCeiling.recordAdmission(mNowNanos);
            }
        }
        if (holder.renewalDue(mNowNanos, 0)) {
            ShareRenewal renewal = holder.createRenewal(mNowNanos, 0);
            send(index, () -> serve(index, holder, renewal));
        }
    }

    private void serve(int index, HeldShare holder, ShareRenewal renewal) {
        if (renewal.grantorFence() > mFence) {
            return;
        }
        mLedger.onRenewal(renewal, mNowNanos)
                .ifPresent(
                        grant ->
                                send(-1, () -> holder.onGrant(renewal.number(), grant, mNowNanos)));
    }

    /** Loses one message in ten, duplicates one in ten, and delays some until after later ones. */
    private void send(int sender, Runnable action) {
        if (sender >= 0 && mNowNanos < mDisconnectedUntilNanos[sender]) {
            return;
        }
        int copies = mRandom.nextInt(10) == 0 ? 0 : mRandom.nextInt(9) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delayMillis =
                    mRandom.nextInt(8) == 0 ? mRandom.nextInt(3_000) : mRandom.nextInt(40);
            mMessages.add(new Message(mNowNanos + delayMillis * 1_000_000L, mNextOrder++, action));
        }
    }

    private void checkSums() {
        double rate = mLedger.centralRatePerSecond(mNowNanos);
        double capacity = mLedger.centralCapacity(mNowNanos);
        for (HeldShare holder : mHolders) {
            if (holder.holdsShare(mNowNanos)) {
                rate += holder.ratePerSecond();
                capacity += holder.capacity();
            }
        }
        // A lower limit is in force once the validity of a share has passed.
        boolean limitInForce = mNowNanos - mLimitChangedNanos > LIMIT_DELAY_NANOS;
        double limitRatio = limitInForce ? mLimitRatio : Math.max(mLimitRatio, mPreviousLimitRatio);
        mMaxRate = Math.max(mMaxRate, rate / limitRatio);
        mMaxCapacity = Math.max(mMaxCapacity, capacity / limitRatio);
    }
}
