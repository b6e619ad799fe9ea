package org.heathercourse.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/**
 * Decides which owner of a workspace's rate a request asks next, and how long it would wait there.
 *
 * <p>Each owner is first asked for a token that is there, the last one also for one that comes no
 * later than the best offer; then the owner with the best offer is asked to let the request wait.
 * So a request waits only if no owner has a token, and takes one token at most. Not safe for use by
 * several threads.
 */
public final class RateSearch {
    private final Deque<String> mOwners;
    private final long mMostWaitMillis;
    private String mAsked;
    private String mBestOwner;
    private long mBestMillis = Long.MAX_VALUE;
    private boolean mBestAsked;

    /**
     * One question.
     *
     * @param owner whom to ask
     * @param maxWaitMillis longest time in milliseconds that the request may wait there
     */
    public record Query(String owner, long maxWaitMillis) {}

    /**
     * Creates a search.
     *
     * @param owners the owners in the order in which they are to be asked
     * @param mostWaitMillis longest time in milliseconds that the request may wait
     */
    public RateSearch(List<String> owners, long mostWaitMillis) {
        mOwners = new ArrayDeque<>(owners);
        mMostWaitMillis = mostWaitMillis;
    }

    /**
     * Puts owners in the order in which they are asked: this gateway first, the others by turns, so
     * that their tokens are used up evenly. Silent ones are left out if there are others, because
     * each costs a timeout.
     *
     * @param owners the owners
     * @param self VM of this gateway
     * @param turn number that rises with each request
     * @param silent tells owners that did not answer lately
     */
    public static List<String> orderOwners(
            List<String> owners, String self, int turn, Predicate<String> silent) {
        List<String> ordered = new ArrayList<>();
        for (int i = 0; i < owners.size(); i++) {
            String owner = owners.get(Math.floorMod(turn + i, owners.size()));
            if (owner.equals(self)) {
                ordered.add(0, owner);
            } else if (!silent.test(owner)) {
                ordered.add(owner);
            }
        }
        return ordered.isEmpty() ? owners : ordered;
    }

    /** Returns the next question, or null if there is none left. */
    public Query next() {
        if (!mOwners.isEmpty()) {
            mAsked = mOwners.remove();
            boolean last = mOwners.isEmpty();
            return new Query(mAsked, last ? Math.min(mBestMillis, mMostWaitMillis) : 0);
        }
        if (mBestAsked || mBestMillis > mMostWaitMillis) {
            return null;
        }
        mBestAsked = true;
        mAsked = mBestOwner;
        return new Query(mAsked, mMostWaitMillis);
    }

    /** Notes that the owner asked last refused. */
    public void onRejected(RateGrant grant) {
        if (grant.fromOwner() && grant.waitMillis() < mBestMillis) {
            mBestMillis = grant.waitMillis();
            mBestOwner = mAsked;
        }
    }

    /**
     * Returns the shortest wait that was offered, in milliseconds, or {@link
     * RateGrant#NEVER_MILLIS} if no owner answered.
     */
    public long shortestWaitMillis() {
        return mBestOwner == null ? RateGrant.NEVER_MILLIS : mBestMillis;
    }
}
