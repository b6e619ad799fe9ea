package org.heathercourse.core.freshness;

import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import org.heathercourse.core.model.VmId;
import org.heathercourse.testing.ManualTicker;

/**
 * Daemons that read a store each second, ask each other for their status and accept changes, over a
 * network with loss, delay and partitions.
 */
final class FreshnessWorld {
    static final int DAEMONS = 5;
    private static final long STEP_MILLIS = 20;
    private static final long MILLI = 1_000_000L;

    private record Message(long at, int order, Runnable action) implements Comparable<Message> {
        @Override
        public int compareTo(Message other) {
            return at != other.at ? Long.compare(at, other.at) : order - other.order;
        }
    }

    final FreshnessRules[] mRules = new FreshnessRules[DAEMONS];
    final boolean[] mStoreReachable = new boolean[DAEMONS];
    final int[] mSide = new int[DAEMONS];
    final ManualTicker mTicker = new ManualTicker();
    private final Random mRandom;
    private final PriorityQueue<Message> mMessages = new PriorityQueue<>();
    private final long[] mAcceptedAt = new long[10_000];
    private long mHead;
    private long mAccepted;
    private int mOrder;
    private boolean mAcksNeeded = true;
    private double mLoss = 0.05;

    FreshnessWorld(long seed, BiFunction<VmId, Long, FreshnessRules> rules) {
        mRandom = new Random(seed);
        Set<VmId> listed = new HashSet<>();
        for (int i = 0; i < DAEMONS; i++) {
            listed.add(new VmId("vm-" + i));
        }
        for (int i = 0; i < DAEMONS; i++) {
            mRules[i] = rules.apply(new VmId("vm-" + i), 0L);
            mRules[i].setDaemons(listed);
            mStoreReachable[i] = true;
        }
    }

    FreshnessWorld withoutAcknowledgements() {
        mAcksNeeded = false;
        return this;
    }

    FreshnessWorld withoutLoss() {
        mLoss = 0;
        return this;
    }

    long now() {
        return mTicker.readNanos();
    }

    long accepted() {
        return mAccepted;
    }

    /** Runs one step; daemons act at their own offset within each second. */
    void step() {
        mTicker.advanceMillis(STEP_MILLIS);
        while (!mMessages.isEmpty() && mMessages.peek().at() <= now()) {
            mMessages.poll().action().run();
        }
        for (int i = 0; i < DAEMONS; i++) {
            if ((now() / MILLI + i * 200L) % 1_000 < STEP_MILLIS) {
                readStore(i);
                for (int peer = 0; peer < DAEMONS; peer++) {
                    ask(i, peer);
                }
            }
        }
    }

    /** Cuts the network into two sides and takes the store away from some daemons. */
    void disturb() {
        boolean partition = mRandom.nextBoolean();
        int store = mRandom.nextInt(4);
        for (int i = 0; i < DAEMONS; i++) {
            mSide[i] = partition ? mRandom.nextInt(2) : 0;
            mStoreReachable[i] =
                    switch (store) {
                        case 0 -> true;
                        case 1 -> false;
                        case 2 -> mSide[i] == 0;
                        default -> mRandom.nextBoolean();
                    };
        }
    }

    /** Commits a change at a daemon if it may; it counts as accepted when a majority has it. */
    void change(int daemon) {
        if (!mStoreReachable[daemon] || !mRules[daemon].canAcceptChange(now())) {
            return;
        }
        long revision = ++mHead;
        mRules[daemon].recordAppliedRevision(revision);
        Set<Integer> confirmed = new HashSet<>(Set.of(daemon));
        for (int peer = 0; peer < DAEMONS; peer++) {
            for (int attempt = 0; attempt < 4; attempt++) {
                push(daemon, peer, revision, attempt * 1_000L, confirmed);
            }
        }
        if (!mAcksNeeded) {
            accept(revision);
        }
    }

    private void push(int from, int to, long revision, long delayMillis, Set<Integer> confirmed) {
        at(
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
        if (mAcceptedAt[(int) revision] == 0) {
            mAcceptedAt[(int) revision] = now();
            mAccepted = Math.max(mAccepted, revision);
        }
    }

    /** Returns the longest time in milliseconds that an overtaken revision is still honoured. */
    long longestHonouredMillis() {
        long longest = 0;
        for (FreshnessRules rules : mRules) {
            if (!rules.isFresh(now())) {
                continue;
            }
            for (long r = rules.revision() + 1; r <= mHead; r++) {
                if (mAcceptedAt[(int) r] != 0) {
                    longest = Math.max(longest, (now() - mAcceptedAt[(int) r]) / MILLI);
                }
            }
        }
        return longest;
    }

    private void readStore(int daemon) {
        if (!mStoreReachable[daemon]) {
            return;
        }
        long started = now();
        long head = mHead;
        at(
                mRandom.nextInt(200),
                () -> {
                    mRules[daemon].recordAppliedRevision(head);
                    mRules[daemon].recordStoreRead(started, head);
                });
    }

    private void ask(int from, int to) {
        if (from == to) {
            return;
        }
        long sent = now();
        send(
                from,
                to,
                () -> {
                    long revision = mRules[to].revision();
                    long age = mRules[to].storeAgeMillis(now());
                    VmId peer = new VmId("vm-" + to);
                    send(to, from, () -> mRules[from].recordPeerStatus(peer, sent, revision, age));
                });
    }

    private void send(int from, int to, Runnable action) {
        boolean cut = mSide[from] != mSide[to];
        if (cut || mRandom.nextDouble() < mLoss) {
            return;
        }
        at(mRandom.nextInt(10) == 0 ? mRandom.nextInt(2_000) : mRandom.nextInt(20), action);
    }

    private void at(long delayMillis, Runnable action) {
        mMessages.add(new Message(now() + delayMillis * MILLI, mOrder++, action));
    }
}
