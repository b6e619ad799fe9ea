package org.heathercourse.core.freshness;

import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import org.heathercourse.core.model.VmId;
import org.heathercourse.testing.ManualTicker;

/**
 * Simulates daemons that read a store each second, request each other's status and accept changes,
 * over a network with message loss, delays and partitions.
 */
final class FreshnessSimulation {
    static final int DAEMONS = 5;
    private static final long STEP_MILLIS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private record Message(long atNanos, int order, Runnable action)
            implements Comparable<Message> {
        @Override
        public int compareTo(Message other) {
            return atNanos != other.atNanos
                    ? Long.compare(atNanos, other.atNanos)
                    : order - other.order;
        }
    }

    final FreshnessRules[] mRules = new FreshnessRules[DAEMONS];
    final boolean[] mStoreReachable = new boolean[DAEMONS];
    final int[] mPartition = new int[DAEMONS];
    final ManualTicker mTicker = new ManualTicker();
    private final Random mRandom;
    private final PriorityQueue<Message> mMessages = new PriorityQueue<>();
    private final long[] mAcceptedNanos = new long[10_000];
    private long mHeadRevision;
    private long mAcceptedRevision;
    private int mNextOrder;
    private boolean mAcksRequired = true;
    private double mLossRatio = 0.05;

    FreshnessSimulation(long seed, BiFunction<VmId, Long, FreshnessRules> rules) {
        mRandom = new Random(seed);
        Set<VmId> daemons = new HashSet<>();
        for (int i = 0; i < DAEMONS; i++) {
            daemons.add(new VmId("vm-" + i));
        }
        for (int i = 0; i < DAEMONS; i++) {
            mRules[i] = rules.apply(new VmId("vm-" + i), 0L);
            mRules[i].setDaemons(daemons);
            mStoreReachable[i] = true;
        }
    }

    FreshnessSimulation withoutAcknowledgements() {
        mAcksRequired = false;
        return this;
    }

    FreshnessSimulation withoutMessageLoss() {
        mLossRatio = 0;
        return this;
    }

    long nowNanos() {
        return mTicker.readNanos();
    }

    long acceptedRevision() {
        return mAcceptedRevision;
    }

    /** Runs one step. Each daemon acts at its own offset within each second. */
    void step() {
        mTicker.advanceMillis(STEP_MILLIS);
        while (!mMessages.isEmpty() && mMessages.peek().atNanos() <= nowNanos()) {
            mMessages.poll().action().run();
        }
        for (int i = 0; i < DAEMONS; i++) {
            if ((nowNanos() / NANOS_PER_MILLI + i * 200L) % 1_000 < STEP_MILLIS) {
                readStore(i);
                for (int peer = 0; peer < DAEMONS; peer++) {
                    requestStatus(i, peer);
                }
            }
        }
    }

    /** Partitions the network at random and makes the store unreachable for some daemons. */
    void changeFaults() {
        boolean split = mRandom.nextBoolean();
        int storeMode = mRandom.nextInt(4);
        for (int i = 0; i < DAEMONS; i++) {
            mPartition[i] = split ? mRandom.nextInt(2) : 0;
            mStoreReachable[i] =
                    switch (storeMode) {
                        case 0 -> true;
                        case 1 -> false;
                        case 2 -> mPartition[i] == 0;
                        default -> mRandom.nextBoolean();
                    };
        }
    }

    /**
     * Commits a change at a daemon if it may accept one. The change is accepted once a majority has
     * applied it.
     */
    void commitChange(int daemon) {
        if (!mStoreReachable[daemon] || !mRules[daemon].canAcceptChange(nowNanos())) {
            return;
        }
        long revision = ++mHeadRevision;
        mRules[daemon].recordAppliedRevision(revision);
        Set<Integer> confirmed = new HashSet<>(Set.of(daemon));
        for (int peer = 0; peer < DAEMONS; peer++) {
            for (int attempt = 0; attempt < 4; attempt++) {
                push(daemon, peer, revision, attempt * 1_000L, confirmed);
            }
        }
        if (!mAcksRequired) {
            accept(revision);
        }
    }

    private void push(int from, int to, long revision, long delayMillis, Set<Integer> confirmed) {
        schedule(
                delayMillis,
                () ->
                        send(
                                from,
                                to,
                                () -> {
                                    mRules[to].recordAppliedRevision(revision);
                                    send(to, from, () -> confirm(to, revision, confirmed));
                                }));
    }

    private void confirm(int peer, long revision, Set<Integer> confirmed) {
        confirmed.add(peer);
        if (confirmed.size() > DAEMONS / 2) {
            accept(revision);
        }
    }

    private void accept(long revision) {
        if (mAcceptedNanos[(int) revision] == 0) {
            mAcceptedNanos[(int) revision] = nowNanos();
            mAcceptedRevision = Math.max(mAcceptedRevision, revision);
        }
    }

    /**
     * Returns the longest time in milliseconds that a daemon has accepted keys with an outdated
     * revision, counted from the acceptance of the newer revision.
     */
    long longestOutdatedMillis() {
        long longestMillis = 0;
        for (FreshnessRules rules : mRules) {
            if (!rules.isFresh(nowNanos())) {
                continue;
            }
            for (long r = rules.revision() + 1; r <= mHeadRevision; r++) {
                if (mAcceptedNanos[(int) r] != 0) {
                    longestMillis =
                            Math.max(
                                    longestMillis,
                                    (nowNanos() - mAcceptedNanos[(int) r]) / NANOS_PER_MILLI);
                }
            }
        }
        return longestMillis;
    }

    private void readStore(int daemon) {
        if (!mStoreReachable[daemon]) {
            return;
        }
        long startedNanos = nowNanos();
        long headRevision = mHeadRevision;
        schedule(
                mRandom.nextInt(200),
                () -> {
                    mRules[daemon].recordAppliedRevision(headRevision);
                    mRules[daemon].recordStoreRead(startedNanos, headRevision);
                });
    }

    private void requestStatus(int from, int to) {
        if (from == to) {
            return;
        }
        long sentNanos = nowNanos();
        send(
                from,
                to,
                () -> {
                    long revision = mRules[to].revision();
                    long ageMillis = mRules[to].storeAgeMillis(nowNanos());
                    VmId peer = new VmId("vm-" + to);
                    send(
                            to,
                            from,
                            () ->
                                    mRules[from].recordPeerStatus(
                                            peer, sentNanos, revision, ageMillis));
                });
    }

    private void send(int from, int to, Runnable action) {
        boolean partitioned = mPartition[from] != mPartition[to];
        if (partitioned || mRandom.nextDouble() < mLossRatio) {
            return;
        }
        schedule(mRandom.nextInt(10) == 0 ? mRandom.nextInt(2_000) : mRandom.nextInt(20), action);
    }

    private void schedule(long delayMillis, Runnable action) {
        mMessages.add(
                new Message(nowNanos() + delayMillis * NANOS_PER_MILLI, mNextOrder++, action));
    }
}
