package org.heathercourse.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.time.SuspendAwareClock;

/**
 * When each gateway was running for certain, as far as its heartbeats show to this one.
 *
 * <p>A row says that a gateway was running when it was written, which may be long ago: this gateway
 * may have started since, or may not have reached the store. Only a heartbeat that has changed
 * between two reads shows that the gateway was running at the first of them. Thread-safe.
 */
public final class RecentContacts {
    /**
     * Maximum time in milliseconds since a gateway was running for certain. Callers must not be
     * directed to gateways that were killed more than 7,000 ms ago; the rest is for the read of the
     * store and the response to the caller.
     */
    static final long MAX_AGE_MILLIS = 6_500;

    /**
     * The same in heartbeat periods for fleets in which rows are not read with each heartbeat. A
     * contact is as old as two reads, and one more period, just before it is renewed.
     */
    static final int MAX_AGE_PERIODS = 2 * MemberReadPolicy.CALM_READ_INTERVAL + 1;

    /** Time in milliseconds for which contacts of gateways that are not live are kept. */
    private static final long MAX_RETENTION_MILLIS = 600_000;

    private final VmId mSelf;
    private final SuspendAwareClock mClock;
    private final Map<VmId, Contact> mContacts = new HashMap<>();
    private SuspendAwareClock.Timestamp mLastRead;
    private long mMaxAgeMillis = MAX_AGE_MILLIS;

    /**
     * The last heartbeat of a gateway.
     *
     * @param runningAt time at which the gateway was running; null if it is not known
     */
    private record Contact(
            long incarnation, long heartbeat, SuspendAwareClock.Timestamp runningAt) {
        boolean isOf(Member member) {
            return incarnation == member.incarnation() && heartbeat == member.heartbeat();
        }
    }

    /**
     * Creates a record without contacts.
     *
     * @param self VM of this gateway
     * @param clock clock that counts suspensions of the VM
     */
    public RecentContacts(VmId self, SuspendAwareClock clock) {
        mSelf = self;
        mClock = clock;
    }

    /**
     * Records the live gateways as of a read of their rows.
     *
     * @param fleet the live gateways
     */
    public synchronized void record(Fleet fleet) {
        long maxPeriodMillis = 0;
        for (Member member : fleet.members()) {
            Contact previous = mContacts.get(member.vm());
            if (previous == null || !previous.isOf(member)) {
                mContacts.put(
                        member.vm(),
                        new Contact(member.incarnation(), member.heartbeat(), mLastRead));
            }
            maxPeriodMillis = Math.max(maxPeriodMillis, member.periodMillis());
        }
        boolean isSmall = fleet.members().size() <= MemberReadPolicy.SMALL_FLEET_MEMBERS;
        mMaxAgeMillis =
                isSmall
                        ? MAX_AGE_MILLIS
                        : Math.max(MAX_AGE_MILLIS, MAX_AGE_PERIODS * maxPeriodMillis);
        mContacts
                .entrySet()
                .removeIf(e -> isForgotten(e.getValue()) && fleet.member(e.getKey()).isEmpty());
        mLastRead = mClock.now();
    }

    /** Returns whether a contact is so old that the row of the gateway was removed since. */
    private boolean isForgotten(Contact contact) {
        return contact.runningAt() != null
                && mClock.millisSince(contact.runningAt()) > MAX_RETENTION_MILLIS;
    }

    /** Returns whether callers may be directed to a gateway as far as its heartbeats show. */
    public synchronized boolean isConfirmed(Member member) {
        if (member.vm().equals(mSelf)) {
            return true;
        }
        Contact contact = mContacts.get(member.vm());
        return contact != null
                && contact.runningAt() != null
                && mClock.millisSince(contact.runningAt()) <= mMaxAgeMillis;
    }
}
