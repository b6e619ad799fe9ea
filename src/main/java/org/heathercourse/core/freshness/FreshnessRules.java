package org.heathercourse.core.freshness;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.heathercourse.core.model.VmId;

/**
 * Decides from evidence whether the configuration in force may still be used to honour keys.
 *
 * <p>There are two kinds of evidence. A read of {@code config/head} shows which revision was the
 * latest when the read began; peers pass this on with its age. A status reply shows which revision
 * a peer had applied after the request was sent; since a change counts as accepted only when a
 * majority has applied it, a majority of replies without a newer revision shows that none was
 * accepted before. A daemon that has heard of a newer revision than its own is not fresh until it
 * has applied that one.
 *
 * <p>All times are readings of one ticker in nanoseconds. Not safe for use by several threads.
 */
public class FreshnessRules {
    /** Age up to which evidence counts. Leaves 2 s of the 5 s bound for the push to peers. */
    public static final long FRESH_NANOS = 3_000_000_000L;

    /** Age up to which contact with a peer counts for the acceptance of a change. */
    public static final long CONTACT_NANOS = 2_000_000_000L;

    private final VmId mSelf;
    private final Map<VmId, PeerEvidence> mPeers = new HashMap<>();
    private Set<VmId> mListed;
    private long mRevision;
    private long mHighestHeard;
    private boolean mStoreSeen;
    private long mStoreNanos;

    /** What a peer said in its latest reply. */
    private record PeerEvidence(long sentNanos) {}

    /**
     * Creates the rules of a daemon without any evidence.
     *
     * @param self this daemon
     * @param revision revision in force
     */
    public FreshnessRules(VmId self, long revision) {
        mSelf = self;
        mRevision = revision;
        mHighestHeard = revision;
        mListed = Set.of(self);
    }

    /** Sets the daemons of which a majority counts; this daemon is always one of them. */
    public void setDaemons(Set<VmId> daemons) {
        mListed = Set.copyOf(daemons);
        mPeers.keySet().retainAll(mListed);
    }

    /** Notes the revision now in force here; lower ones are ignored. */
    public void recordAppliedRevision(long revision) {
        mRevision = Math.max(mRevision, revision);
        recordKnownRevision(revision);
    }

    /** Notes that a revision exists, for instance because a peer asked with it. */
    public void recordKnownRevision(long revision) {
        mHighestHeard = Math.max(mHighestHeard, revision);
    }

    /**
     * Notes a read of {@code config/head}.
     *
     * @param startedNanos reading before the read began
     * @param headRevision revision that was read; 0 if the row does not exist
     */
    public void recordStoreRead(long startedNanos, long headRevision) {
        recordKnownRevision(headRevision);
        noteStore(startedNanos);
    }

    private void noteStore(long nanos) {
        if (!mStoreSeen || nanos - mStoreNanos > 0) {
            mStoreNanos = nanos;
            mStoreSeen = true;
        }
    }

    /**
     * Notes the reply of a peer to a status request.
     *
     * @param peer the peer
     * @param sentNanos reading before the request was sent
     * @param revision revision in force at the peer
     * @param storeAgeMillis age of the peer's store evidence; -1 if it has none
     */
    public void recordPeerStatus(VmId peer, long sentNanos, long revision, long storeAgeMillis) {
        recordKnownRevision(revision);
        boolean storeSeen = storeAgeMillis >= 0;
        // Counted from the sending, the evidence looks older than it is, never younger. The
        // millisecond makes up for the rounding of the age.
        long storeNanos = sentNanos - (storeAgeMillis + 1) * 1_000_000L;
        if (storeSeen) {
            noteStore(storeNanos);
        }
        if (!mListed.contains(peer) || peer.equals(mSelf)) {
            return;
        }
        PeerEvidence known = mPeers.get(peer);
        if (known == null || sentNanos - known.sentNanos() > 0) {
            mPeers.put(peer, new PeerEvidence(sentNanos));
        }
    }

    /** Returns whether keys may be honoured. */
    public boolean isFresh(long nowNanos) {
        long age = evidenceAgeNanos(nowNanos);
        return age >= 0 && age <= FRESH_NANOS;
    }

    /**
     * Returns the age of the best evidence that the revision in force is the latest.
     *
     * @param nowNanos present reading of the ticker
     * @return age in nanoseconds, or -1 if there is none or a newer revision is known
     */
    public long evidenceAgeNanos(long nowNanos) {
        if (mHighestHeard > mRevision) {
            return -1;
        }
        long best = Long.MAX_VALUE;
        if (mStoreSeen) {
            best = Math.max(0, nowNanos - mStoreNanos);
        }
        best = Math.min(best, majorityAgeNanos(nowNanos));
        return best == Long.MAX_VALUE ? -1 : best;
    }

    /** Returns the age of the oldest reply that a majority needs; MAX_VALUE without a majority. */
    long majorityAgeNanos(long nowNanos) {
        int needed = majority() - 1;
        if (needed == 0) {
            // A daemon that starts knows only itself; a read shows that the list is complete.
            return mStoreSeen ? 0 : Long.MAX_VALUE;
        }
        if (mPeers.size() < needed) {
            return Long.MAX_VALUE;
        }
        long[] ages =
                mPeers.values().stream()
                        .mapToLong(peer -> Math.max(0, nowNanos - peer.sentNanos()))
                        .toArray();
        Arrays.sort(ages);
        return ages[needed - 1];
    }

    /** Returns the number of daemons that make a majority, this one included. */
    public int majority() {
        int listed = mListed.contains(mSelf) ? mListed.size() : mListed.size() + 1;
        return listed / 2 + 1;
    }

    /** Returns whether this daemon may accept a change: a majority answered within 2 s. */
    public boolean canAcceptChange(long nowNanos) {
        return majorityAgeNanos(nowNanos) <= CONTACT_NANOS;
    }

    /**
     * Returns the age of the store evidence that this daemon passes on.
     *
     * @param nowNanos present reading of the ticker
     * @return age in milliseconds, or -1 if there is none that holds for the revision in force
     */
    public long storeAgeMillis(long nowNanos) {
        if (!mStoreSeen || mHighestHeard > mRevision) {
            return -1;
        }
        return Math.max(0, nowNanos - mStoreNanos) / 1_000_000L;
    }

    /**
     * Returns whether a majority of the listed daemons answered lately and none of them, nor this
     * one, has evidence of a store read within the time that evidence counts.
     */
    public boolean isStoreDownForMajority(long nowNanos) {
        if (mStoreSeen && nowNanos - mStoreNanos <= FRESH_NANOS) {
            return false;
        }
        long answered =
                mPeers.values().stream()
                        .filter(peer -> nowNanos - peer.sentNanos() <= FRESH_NANOS)
                        .count();
        return answered + 1 >= majority();
    }

    /** Returns the revision in force. */
    public long revision() {
        return mRevision;
    }

    /** Returns the highest revision known to exist. */
    public long highestKnownRevision() {
        return mHighestHeard;
    }
}
