package org.heathercourse.core.fleet;

import org.heathercourse.core.model.VmId;

/**
 * Decides at which of its heartbeats a gateway reads the rows of all members.
 *
 * <p>Load pattern: a large fleet in which nothing changes. If every gateway read the rows of all
 * others with each heartbeat, the rows read would grow with the square of the fleet and take more
 * CPU time than the requests. Gateways that may become the leader soon read with each heartbeat;
 * the others do so while members come, go or change, and less often while none does. Small fleets
 * read with each heartbeat. Not thread-safe.
 */
public final class MemberReadPolicy {
    /** Number of members up to which all gateways read with each heartbeat. */
    static final int SMALL_FLEET_MEMBERS = 16;

    /** Number of gateways that read with each heartbeat because they lead now or next. */
    static final int LEADER_CANDIDATES = 3;

    /** Number of successive reads without a change after which a gateway reads less often. */
    static final int CALM_AFTER_READS = 2;

    /**
     * Heartbeats from one read to the next while nothing changes; as many as a gateway may miss
     * until it is dead, so that a dead one is not noticed later than by reading each time.
     */
    static final int CALM_READ_INTERVAL = Liveness.MISSED_PERIODS;

    private final VmId mSelf;
    private int mUnchangedReads;
    private int mHeartbeatsSinceRead;

    /**
     * Creates a policy that reads with the first heartbeat.
     *
     * @param self VM of this gateway
     */
    public MemberReadPolicy(VmId self) {
        mSelf = self;
    }

    /**
     * Returns whether to read the rows after the present heartbeat. Call once for each heartbeat.
     *
     * @param fleet members as of the last read
     */
    public boolean readsNow(Fleet fleet) {
        mHeartbeatsSinceRead++;
        return mUnchangedReads < CALM_AFTER_READS
                || mHeartbeatsSinceRead >= CALM_READ_INTERVAL
                || fleet.members().size() <= SMALL_FLEET_MEMBERS
                || isLeaderCandidate(fleet);
    }

    private boolean isLeaderCandidate(Fleet fleet) {
        return fleet.leaderOrder().stream()
                .limit(LEADER_CANDIDATES)
                .anyMatch(member -> member.vm().equals(mSelf));
    }

    /** Returns the number of heartbeats since the last read, including the present one. */
    public int heartbeatsSinceRead() {
        return mHeartbeatsSinceRead;
    }

    /**
     * Records a read.
     *
     * @param changed whether a member came, went, restarted or changed its state
     */
    public void onRead(boolean changed) {
        mHeartbeatsSinceRead = 0;
        mUnchangedReads = changed ? 0 : mUnchangedReads + 1;
    }
}
