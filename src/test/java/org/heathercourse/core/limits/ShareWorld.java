package org.heathercourse.core.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.heathercourse.core.model.VmId;
import org.heathercourse.testing.bench.CeilingCheck;

/**
 * A ledger and greedy holders over a network that loses, repeats, delays and reorders messages;
 * grantors and limits change now and then and holders are cut off. Checks the ceiling after each
 * step.
 */
final class ShareWorld {
    private static final long STEP = 20_000_000L;
    private static final int HOLDERS = 4;
    private static final long BOUND = 10_000_000_000L;

    /** Makes the parts, so that tests can break one rule of them. */
    interface Parts {
        default ShareLedger ledger(long fence, double rate, double burst, long now) {
            return new ShareLedger(fence, rate, burst, now);
        }

        default HeldShare holder(VmId vm, long incarnation, long now) {
            return new HeldShare(vm, incarnation, now);
        }
    }

    private record Message(long at, int order, Runnable action) implements Comparable<Message> {
        @Override
        public int compareTo(Message other) {
            return at != other.at ? Long.compare(at, other.at) : order - other.order;
        }
    }

    private final Random mRandom;
    private final Parts mParts;
    private final PriorityQueue<Message> mMessages = new PriorityQueue<>();
    private final List<HeldShare> mHolders = new ArrayList<>();
    private final long[] mCutUntil = new long[HOLDERS];
    private final boolean[] mBusy = new boolean[HOLDERS];

    /** Small limits make tokens move by request, large ones make holders fill themselves. */
    private final double mRate;

    private final double mBurst;
    private final CeilingCheck mCeiling;
    private long mNow;
    private int mOrder;
    private long mFence = 1;
    private ShareLedger mLedger;
    private double mPart = 1;
    private double mPartBefore = 1;
    private long mChangedAt;
    private double mWorstRate;
    private double mWorstCapacity;

    ShareWorld(long seed, Parts parts) {
        mRandom = new Random(seed);
        mParts = parts;
        mRate = seed % 2 == 0 ? 20 : 60;
        mBurst = seed % 2 == 0 ? 30 : 90;
        mCeiling = new CeilingCheck(mRate, mBurst);
        mLedger = parts.ledger(mFence, mRate, mBurst, 0);
        for (int i = 0; i < HOLDERS; i++) {
            mHolders.add(parts.holder(new VmId("vm-" + i), 1, 0));
        }
    }

    /** Runs for some seconds and describes the first rule that was broken; empty if none was. */
    String run(int seconds) {
        for (long end = mNow + seconds * 1_000_000_000L; mNow < end; mNow += STEP) {
            while (!mMessages.isEmpty() && mMessages.peek().at() <= mNow) {
                mMessages.poll().action().run();
            }
            if (mRandom.nextInt(600) == 0) {
                mFence++;
                mLedger = mParts.ledger(mFence, mRate * mPart, mBurst * mPart, mNow);
            }
            if (mRandom.nextInt(400) == 0) {
                int vm = mRandom.nextInt(HOLDERS);
                mHolders.set(vm, mParts.holder(new VmId("vm-" + vm), mOrder + 2, mNow));
            }
            if (mNow - mChangedAt > BOUND && mRandom.nextInt(1_000) == 0) {
                mPartBefore = mPart;
                mPart = mPart == 1 ? 0.4 : 1;
                mChangedAt = mNow;
                mLedger.reconfigure(mRate * mPart, mBurst * mPart, mNow);
            }
            if (mRandom.nextInt(800) == 0) {
                mCutUntil[mRandom.nextInt(HOLDERS)] = mNow + 12_000_000_000L;
            }
            for (int i = 0; i < HOLDERS; i++) {
                step(i);
            }
            check();
        }
        if (mWorstRate > mRate + 1e-6) {
            return "fill rates add up to " + mWorstRate;
        }
        if (mWorstCapacity > mBurst + 1e-6) {
            return "capacities add up to " + mWorstCapacity;
        }
        return mCeiling.over() == 0 ? "" : mCeiling.over() + " admissions over the ceiling";
    }

    /** Returns admissions relative to the rate. */
    double usedPart() {
        return mCeiling.admitted() * 1e9 / mNow / mRate;
    }

    private void step(int vm) {
        HeldShare holder = mHolders.get(vm);
        if (mRandom.nextInt(150) == 0) {
            mBusy[vm] = !mBusy[vm];
        }
        if (mBusy[vm] && mRandom.nextInt(4) == 0) {
            while (holder.tryAcquire(mNow)) {
                mCeiling.admitted(mNow);
            }
        }
        if (holder.renewalDue(mNow, 0)) {
            ShareRenewal ask = holder.createRenewal(mNow, 0);
            send(vm, () -> serve(vm, holder, ask));
        }
    }

    private void serve(int vm, HeldShare holder, ShareRenewal ask) {
        if (ask.grantorFence() > mFence) {
            return;
        }
        mLedger.onRenewal(ask, mNow)
                .ifPresent(grant -> send(-1, () -> holder.onGrant(ask.number(), grant, mNow)));
    }

    /** Loses one message in ten, repeats one in ten, delays some beyond the next ones. */
    private void send(int from, Runnable action) {
        if (from >= 0 && mNow < mCutUntil[from]) {
            return;
        }
        int copies = mRandom.nextInt(10) == 0 ? 0 : mRandom.nextInt(9) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = mRandom.nextInt(8) == 0 ? mRandom.nextInt(3_000) : mRandom.nextInt(40);
            mMessages.add(new Message(mNow + delay * 1_000_000L, mOrder++, action));
        }
    }

    private void check() {
        double rate = mLedger.centralRatePerSecond(mNow);
        double capacity = mLedger.centralCapacity(mNow);
        for (HeldShare holder : mHolders) {
            if (holder.holdsShare(mNow)) {
                rate += holder.ratePerSecond();
                capacity += holder.capacity();
            }
        }
        // A lower limit is in force after the validity of a share.
        boolean settled = mNow - mChangedAt > BOUND;
        double part = settled ? mPart : Math.max(mPart, mPartBefore);
        mWorstRate = Math.max(mWorstRate, rate / part);
        mWorstCapacity = Math.max(mWorstCapacity, capacity / part);
    }
}
