package org.heathercourse.core.freshness;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.heathercourse.core.model.VmId;

/**
 * Decides whether the configuration in force is fresh enough to accept keys.
 *
 * <p>The decision rests on two kinds of evidence. A read of {@code config/head} shows which
 * revision was the latest when the read began; peers forward this evidence with its age. A status
 * reply shows which revision a peer had applied after the request was sent. A change is accepted
 * only when a majority has applied it, so a majority of replies without a newer revision shows that
 * no newer one was accepted before the requests were sent. A daemon that has received the number of
 * a newer revision than its own is not fresh until it has applied that revision.
 *
 * <p>All times are times of one ticker in nanoseconds. Not safe for use by several threads.
 */
public class FreshnessRules {
    /**
     * Maximum age of evidence in nanoseconds. Leaves 2 s of the 5 s limit for the push to peers.
     */
    public static final long FRESH_NANOS = 3_000_000_000L;

    /** Maximum age in nanoseconds of a peer's reply that counts for the acceptance of a change. */
    public static final long CONTACT_NANOS = 2_000_000_000L;

    private final VmId mSelf;
    private final Map<VmId, PeerEvidence> mPeers = new HashMap<>();
    private Set<VmId> mDaemons;
    private long mRevision;
    private long mHighestKnownRevision;
    private boolean mHasStoreEvidence;
    private long mStoreEvidenceNanos;

    /**
     * Evidence from the latest reply of a peer.
     *
     * @param sentNanos ticker time before the request was sent
     */
    private record PeerEvidence(long sentNanos) {}

    /**
     * Creates the rules of a daemon without evidence.
     *
     * @param self VM of this daemon
     * @param revision revision in force
     */
    public FreshnessRules(VmId self, long revision) {
        mSelf = self;
        mRevision = revision;
        mHighestKnownRevision = revision;
        mDaemons = Set.of(self);
    }

    /** Sets the daemons of which a majority is needed; this daemon always counts as one of them. */
    public void setDaemons(Set<VmId> daemons) {
        mDaemons = Set.copyOf(daemons);
        mPeers.keySet().retainAll(mDaemons);
    }

    /** Records the revision now in force here; lower revisions are ignored. */
    public void recordAppliedRevision(long revision) {
        mRevision = Math.max(mRevision, revision);
        recordKnownRevision(revision);
    }

    /** Records that a revision exists, for example because a peer's request contained it. */
    public void recordKnownRevision(long revision) {
        mHighestKnownRevision = Math.max(mHighestKnownRevision, revision);
    }

    /**
     * Records a read of {@code config/head}.
     *
     * @param startedNanos ticker time before the read began
     * @param headRevision revision that was read; 0 if the row does not exist
     */
    public void recordStoreRead(long startedNanos, long headRevision) {
        recordKnownRevision(headRevision);
        recordStoreEvidence(startedNanos);
    }

    private void recordStoreEvidence(long startedNanos) {
        if (!mHasStoreEvidence || startedNanos - mStoreEvidenceNanos > 0) {
            mStoreEvidenceNanos = startedNanos;
            mHasStoreEvidence = true;
        }
    }

    /**
     * Records the reply of a peer to a status request.
     *
     * @param peer VM of the peer
     * @param sentNanos ticker time before the request was sent
     * @param revision revision in force at the peer
     * @param storeAgeMillis age of the peer's store evidence in milliseconds; -1 if it has none
     */
    public void recordPeerStatus(VmId peer, long sentNanos, long revision, long storeAgeMillis) {
        recordKnownRevision(revision);
        boolean hasStoreEvidence = storeAgeMillis >= 0;
        // Counted from the time of sending, the age is never underestimated; 1 ms covers rounding.
        long storeReadNanos = sentNanos - (storeAgeMillis + 1) * 1_000_000L;
        if (hasStoreEvidence) {
            recordStoreEvidence(storeReadNanos);
        }
        if (!mDaemons.contains(peer) || peer.equals(mSelf)) {
            return;
        }
        PeerEvidence previous = mPeers.get(peer);
        if (previous == null || sentNanos - previous.sentNanos() > 0) {
            mPeers.put(peer, new PeerEvidence(sentNanos));
        }
    }

    /** Returns whether the evidence is recent enough to accept keys. */
    public boolean isFresh(long nowNanos) {
        long ageNanos = evidenceAgeNanos(nowNanos);
        return ageNanos >= 0 && ageNanos <= FRESH_NANOS;
    }

    /**
     * Returns the age of the most recent evidence that the revision in force is the latest.
     *
     * @param nowNanos current ticker time
     * @return age in nanoseconds, or -1 if there is no evidence or a newer revision is known
     */
    public long evidenceAgeNanos(long nowNanos) {
        if (mHighestKnownRevision > mRevision) {
            return -1;
        }
        long minAgeNanos = Long.MAX_VALUE;
        if (mHasStoreEvidence) {
            minAgeNanos = Math.max(0, nowNanos - mStoreEvidenceNanos);
        }
        minAgeNanos = Math.min(minAgeNanos, majorityAgeNanos(nowNanos));
        return minAgeNanos == Long.MAX_VALUE ? -1 : minAgeNanos;
    }

    /**
     * Returns the age in nanoseconds of the oldest reply that a majority needs; {@link
     * Long#MAX_VALUE} without a majority.
     */
    long majorityAgeNanos(long nowNanos) {
        int neededReplies = majority() - 1;
        if (neededReplies == 0) {
            // A starting daemon lists only itself; a store read shows that the list is complete.
            return mHasStoreEvidence ? 0 : Long.MAX_VALUE;
        }
        if (mPeers.size() < neededReplies) {
            return Long.MAX_VALUE;
        }
        long[] replyAgesNanos =
                mPeers.values().stream()
                        .mapToLong(peer -> Math.max(0, nowNanos - peer.sentNanos()))
                        .toArray();
        Arrays.sort(replyAgesNanos);
        return replyAgesNanos[neededReplies - 1];
    }

    /** Returns the number of daemons that form a majority, including this one. */
    public int majority() {
        int daemonCount = mDaemons.contains(mSelf) ? mDaemons.size() : mDaemons.size() + 1;
        return daemonCount / 2 + 1;
    }

    /**
     * Returns whether this daemon may accept a change: a majority replied within {@link
     * #CONTACT_NANOS}.
     */
    public boolean canAcceptChange(long nowNanos) {
        return majorityAgeNanos(nowNanos) <= CONTACT_NANOS;
    }

    /**
     * Returns the age of the store evidence that this daemon forwards to peers.
     *
     * @param nowNanos current ticker time
     * @return age in milliseconds, or -1 if there is no store evidence for the revision in force
     */
    public long storeAgeMillis(long nowNanos) {
        if (!mHasStoreEvidence || mHighestKnownRevision > mRevision) {
            return -1;
        }
        return Math.max(0, nowNanos - mStoreEvidenceNanos) / 1_000_000L;
    }

    /**
     * Returns whether a majority of the daemons, including this one, replied within {@link
     * #FRESH_NANOS} and no evidence of a store read is that recent.
     */
    public boolean isStoreDownForMajority(long nowNanos) {
        if (mHasStoreEvidence && nowNanos - mStoreEvidenceNanos <= FRESH_NANOS) {
            return false;
        }
        long recentReplies =
                mPeers.values().stream()
                        .filter(peer -> nowNanos - peer.sentNanos() <= FRESH_NANOS)
                        .count();
        return recentReplies + 1 >= majority();
    }

    /** Returns the revision in force. */
    public long revision() {
        return mRevision;
    }

    /** Returns the highest revision that is known to exist. */
    public long highestKnownRevision() {
        return mHighestKnownRevision;
    }
}
