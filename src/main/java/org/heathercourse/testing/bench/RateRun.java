package org.heathercourse.testing.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.heathercourse.core.limits.HeldShare;
import org.heathercourse.core.limits.ShareGrant;
import org.heathercourse.core.limits.ShareLedger;
import org.heathercourse.core.limits.ShareRenewal;
import org.heathercourse.core.limits.TokenBucket;
import org.heathercourse.core.model.VmId;

/**
 * Discrete-event simulation of the rate limit of one workspace at all daemons: a manual clock,
 * messages with delay and loss, crashes of the grantor and a network partition of a zone.
 *
 * <p>Not safe for use by several threads.
 */
final class RateRun {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long TICK_NANOS = 50 * NANOS_PER_MILLI;
    private static final long MAX_WAIT_NANOS = 300 * NANOS_PER_MILLI;
    private static final int ZONES = 3;

    /**
     * Fencing number of the first grantor of the run. No earlier grantor can have issued shares.
     */
    private static final long FIRST_FENCE = 1;

    private final RateScenario mScenario;
    private final RandomGenerator mRandom;
    private final MovingTraffic mTraffic;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final HeldShare[] mHolders;
    private final List<Deque<Long>> mWaitQueues = new ArrayList<>();
    private final boolean[] mAlive;
    private final long[] mIncarnations;
    private final TokenBucket mIdeal;
    private final TokenBucket[] mNaive;
    private final CeilingCheck mCeiling;
    private long mNowNanos;
    private long mNextSequence;
    private int mGrantor;
    private long mFence = FIRST_FENCE;
    private ShareLedger mLedger;
    private long mPartitionEndNanos;
    private int mPartitionedZone = -1;
    private long mArrivals;
    private long mRefusedWithinRate;
    private long mNaiveRefusedWithinRate;
    private long mIdealAdmitted;
    private long mMessages;
    private long mWaited;

    /** An action at a time; events at the same time run in the order of their creation. */
    private record Event(long atNanos, long sequence, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Counts of a run.
     *
     * @param arrivals calls that arrived
     * @param idealAdmitted calls that a single token bucket for all daemons admits
     * @param admitted calls that the leased shares admitted
     * @param refusedWithinRate calls refused by the leased shares although the single bucket admits
     *     them
     * @param naiveRefusedWithinRate calls refused by fixed equal shares although the single bucket
     *     admits them
     * @param overCeiling admissions that exceeded rate and burst over some interval
     * @param worstExcess largest excess over rate and burst, in calls; negative if there was none
     * @param messages messages sent between daemons
     * @param waited calls that were queued for a token
     */
    record Result(
            long arrivals,
            long idealAdmitted,
            long admitted,
            long refusedWithinRate,
            long naiveRefusedWithinRate,
            long overCeiling,
            double worstExcess,
            long messages,
            long waited) {}

    RateRun(RateScenario scenario, String name, double load) {
        mScenario = scenario;
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed() * 31 + name.hashCode());
        mRandom = random::nextLong;
        double rate = scenario.ratePerSecond();
        int vms = scenario.vms();
        // Arrivals have their own random stream, so that they do not depend on the policy.
        UniformRandomProvider arrivals =
                RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed() * 37 + name.hashCode());
        mTraffic = new MovingTraffic(arrivals::nextLong, scenario, rate * load);
        mHolders = new HeldShare[vms];
        mAlive = new boolean[vms];
        mIncarnations = new long[vms];
        mNaive = new TokenBucket[vms];
        mIdeal = new TokenBucket(rate, scenario.burst(), scenario.burst(), 0);
        mCeiling = new CeilingCheck(rate, scenario.burst());
        mLedger = new ShareLedger(mFence, rate, scenario.burst(), 0);
        for (int i = 0; i < vms; i++) {
            mNaive[i] = new TokenBucket(rate / vms, scenario.burst() / vms, scenario.burst(), 0);
            mWaitQueues.add(new ArrayDeque<>());
            startVm(i);
        }
    }

    Result run() {
        long endNanos = mScenario.seconds() * NANOS_PER_SECOND;
        schedule(mTraffic.nextGapNanos(), this::onArrival);
        for (int i = 0; i < mHolders.length; i++) {
            int vm = i;
            schedule(i * TICK_NANOS / mHolders.length, () -> onTick(vm));
        }
        if (mScenario.faults()) {
            for (int i = 0; i < mScenario.grantorDeaths(); i++) {
                schedule(
                        endNanos / 5
                                + i * endNanos * 2 / 5 / Math.max(1, mScenario.grantorDeaths() - 1),
                        this::killGrantor);
            }
            schedule(endNanos * 5 / 6, this::partitionZone);
        }
        long nextReportNanos = 0;
        while (mEvents.peek().atNanos() < endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.atNanos();
            if (mNowNanos >= nextReportNanos) {
                System.err.println(
                        "second=" + mNowNanos / NANOS_PER_SECOND + " arrivals=" + mArrivals);
                nextReportNanos = mNowNanos + 30 * NANOS_PER_SECOND;
            }
            event.action().run();
        }
        return new Result(
                mArrivals,
                mIdealAdmitted,
                mCeiling.admissions(),
                mRefusedWithinRate,
                mNaiveRefusedWithinRate,
                mCeiling.admissionsOverCeiling(),
                mCeiling.worstExcess(),
                mMessages,
                mWaited);
    }

    private void schedule(long atNanos, Runnable action) {
        mEvents.add(new Event(atNanos, mNextSequence++, action));
    }

    // Traffic.

    private void onArrival() {
        schedule(mNowNanos + mTraffic.nextGapNanos(), this::onArrival);
        mArrivals++;
        int vm = mTraffic.pickVm(mNowNanos, mAlive);
        boolean idealAdmits = mIdeal.tryAcquire(1, mNowNanos);
        mIdealAdmitted += idealAdmits ? 1 : 0;
        if (!mNaive[vm].tryAcquire(1, mNowNanos) && idealAdmits) {
            mNaiveRefusedWithinRate++;
        }
        HeldShare holder = mHolders[vm];
        if (holder.tryAcquire(mNowNanos)) {
            mCeiling.recordAdmission(mNowNanos);
        } else if (holder.shouldWaitForToken(
                mNowNanos, mWaitQueues.get(vm).size(), MAX_WAIT_NANOS)) {
            enqueue(vm, idealAdmits);
        } else {
            mRefusedWithinRate += idealAdmits ? 1 : 0;
        }
        renewIfDue(vm);
    }

    /**
     * Queues a call until a token is available or the maximum wait expires, as the daemon's limiter
     * does.
     */
    private void enqueue(int vm, boolean idealAdmits) {
        long id = mNextSequence;
        mWaited++;
        mWaitQueues.get(vm).add(id);
        schedule(
                mNowNanos + MAX_WAIT_NANOS,
                () -> {
                    drainQueue(vm);
                    if (mWaitQueues.get(vm).remove(id)) {
                        mRefusedWithinRate += idealAdmits ? 1 : 0;
                    }
                });
    }

    private void drainQueue(int vm) {
        Deque<Long> waiting = mWaitQueues.get(vm);
        while (!waiting.isEmpty() && mHolders[vm].retryAcquire(mNowNanos)) {
            waiting.poll();
            mCeiling.recordAdmission(mNowNanos);
        }
    }

    // Messages.

    private void onTick(int vm) {
        schedule(mNowNanos + TICK_NANOS, () -> onTick(vm));
        if (mAlive[vm]) {
            drainQueue(vm);
            renewIfDue(vm);
        }
    }

    private void renewIfDue(int vm) {
        if (mGrantor < 0 || !mHolders[vm].renewalDue(mNowNanos, mWaitQueues.get(vm).size())) {
            return;
        }
        HeldShare holder = mHolders[vm];
        ShareRenewal renewal = holder.createRenewal(mNowNanos, mWaitQueues.get(vm).size());
        int grantor = mGrantor;
        long fence = mFence;
        send(vm, grantor, () -> handleRenewal(vm, grantor, fence, holder, renewal));
    }

    private void handleRenewal(
            int vm, int grantor, long fence, HeldShare holder, ShareRenewal renewal) {
        if (mGrantor != grantor || mFence != fence || renewal.grantorFence() > mFence) {
            return;
        }
        mLedger.onRenewal(renewal, mNowNanos)
                .ifPresent(
                        grant -> send(grantor, vm, () -> handleGrant(vm, holder, renewal, grant)));
    }

    private void handleGrant(int vm, HeldShare holder, ShareRenewal renewal, ShareGrant grant) {
        if (mHolders[vm] == holder && mAlive[vm]) {
            holder.onGrant(renewal.number(), grant, mNowNanos);
            drainQueue(vm);
        }
    }

    private void send(int from, int to, Runnable delivery) {
        mMessages++;
        boolean partitioned =
                mNowNanos < mPartitionEndNanos
                        && (zone(from) == mPartitionedZone) != (zone(to) == mPartitionedZone);
        boolean lost = from != to && mRandom.nextDouble() < RateScenario.LOSS_PROBABILITY;
        if (partitioned || lost) {
            return;
        }
        double millis =
                from == to
                        ? 0.05
                        : RateScenario.MIN_DELAY_MILLIS
                                + mRandom.nextDouble() * RateScenario.JITTER_MILLIS;
        schedule(mNowNanos + (long) (millis * NANOS_PER_MILLI), delivery);
    }

    private int zone(int vm) {
        return vm % ZONES;
    }

    // Faults.

    private void startVm(int vm) {
        mAlive[vm] = true;
        mIncarnations[vm]++;
        mHolders[vm] = new HeldShare(new VmId("vm-" + vm), mIncarnations[vm], mNowNanos);
    }

    /**
     * Crashes the grantor's VM; another VM takes over after 6 to 8 s and the crashed one restarts
     * after 30 s.
     */
    private void killGrantor() {
        int victim = mGrantor;
        mAlive[victim] = false;
        mGrantor = -1;
        mWaitQueues.get(victim).clear();
        long takeoverNanos = mNowNanos + (long) ((6 + 2 * mRandom.nextDouble()) * NANOS_PER_SECOND);
        schedule(
                takeoverNanos,
                () -> {
                    mGrantor = (victim + 1) % mHolders.length;
                    mFence++;
                    mLedger =
                            new ShareLedger(
                                    mFence,
                                    mScenario.ratePerSecond(),
                                    mScenario.burst(),
                                    mNowNanos);
                });
        schedule(mNowNanos + 30 * NANOS_PER_SECOND, () -> startVm(victim));
    }

    /**
     * Partitions a zone without the grantor from the other zones for 8 s; its callers still reach
     * it.
     */
    private void partitionZone() {
        mPartitionedZone = (Math.max(0, mGrantor) + 1) % ZONES;
        mPartitionEndNanos = mNowNanos + 8 * NANOS_PER_SECOND;
    }
}
