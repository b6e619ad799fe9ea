package org.heathercourse.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/**
 * Decides which owner of a workspace's rate to query next for a request, and how long the request
 * may wait there.
 *
 * <p>Each owner is first queried for a token that is available now. The last owner may also reserve
 * a token for which the wait is no longer than the shortest wait that another owner offered. Then
 * the owner with the shortest wait is queried to reserve a token. So a request waits only if no
 * owner has a token, and acquires one token at most. Not safe for use by several threads.
 */
public final class RateSearch {
    private final Deque<String> mRemainingOwners;
    private final long mMaxWaitMillis;
    private String mQueriedOwner;
    private String mBestOwner;
    private long mShortestWaitMillis = Long.MAX_VALUE;
    private boolean mBestOwnerQueried;

    /**
     * A query to one owner. Immutable.
     *
     * @param owner VM of the owner to query
     * @param maxWaitMillis maximum time in milliseconds that the request may wait there
     */
    public record Query(String owner, long maxWaitMillis) {}

    /**
     * Creates a search.
     *
     * @param owners owners in the order of the queries
     * @param maxWaitMillis maximum time in milliseconds that the request may wait
     */
    public RateSearch(List<String> owners, long maxWaitMillis) {
        mRemainingOwners = new ArrayDeque<>(owners);
        mMaxWaitMillis = maxWaitMillis;
    }

    /**
     * Returns owners in the order of the queries: this gateway first, then the others in rotation,
     * so that their tokens are used evenly. Unresponsive owners are left out if there are others,
     * because each query to one costs a timeout.
     *
     * @param owners owners to order
     * @param self VM of this gateway
     * @param requestNumber number that increases with each request
     * @param unresponsive returns whether an owner did not reply recently
     */
    public static List<String> orderOwners(
            List<String> owners, String self, int requestNumber, Predicate<String> unresponsive) {
        List<String> ordered = new ArrayList<>();
        for (int i = 0; i < owners.size(); i++) {
            String owner = owners.get(Math.floorMod(requestNumber + i, owners.size()));
            if (owner.equals(self)) {
                ordered.add(0, owner);
            } else if (!unresponsive.test(owner)) {
                ordered.add(owner);
            }
        }
        return ordered.isEmpty() ? owners : ordered;
    }

    /** Returns the next query, or null if there is none left. */
    public Query next() {
        if (!mRemainingOwners.isEmpty()) {
            mQueriedOwner = mRemainingOwners.remove();
            boolean lastOwner = mRemainingOwners.isEmpty();
            return new Query(
                    mQueriedOwner, lastOwner ? Math.min(mShortestWaitMillis, mMaxWaitMillis) : 0);
        }
        if (mBestOwnerQueried || mShortestWaitMillis > mMaxWaitMillis) {
            return null;
        }
        mBestOwnerQueried = true;
        mQueriedOwner = mBestOwner;
        return new Query(mQueriedOwner, mMaxWaitMillis);
    }

    /** Records that the owner queried last rejected the request. */
    public void onRejected(RateGrant grant) {
        if (grant.fromOwner() && grant.waitMillis() < mShortestWaitMillis) {
            mShortestWaitMillis = grant.waitMillis();
            mBestOwner = mQueriedOwner;
        }
    }

    /**
     * Returns the shortest wait that an owner offered, in milliseconds, or {@link
     * RateGrant#NEVER_MILLIS} if none offered one.
     */
    public long shortestWaitMillis() {
        return mBestOwner == null ? RateGrant.NEVER_MILLIS : mShortestWaitMillis;
    }
}
