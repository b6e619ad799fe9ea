package org.heathercourse.core.target;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.fleet.Fleet;
import org.heathercourse.core.fleet.FleetHistory;
import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.routing.Service;
import org.heathercourse.core.time.Ticker;

/**
 * Decides whether a request may be sent to a target that may be cold.
 *
 * <p>Load pattern: a burst of requests from a whole fleet of gateways at targets that crash under a
 * load that their zone carries easily once it is warm. Gateways do not see each other's requests,
 * so for each cold target only a few of them send to it, each at a fixed part of the target's rate.
 * Two sets of gateways that result from two views of the fleet stay below the bound together. Not
 * thread-safe.
 */
public final class ColdTargetRule {
    /** Requests in any second that a cold target survives: a factor of its rate, and a constant. */
    static final double BOUND_RATE_FACTOR = 1.5;

    static final double BOUND_CONSTANT = 5;

    /** Part of the rate of a cold target that the gateways of one view use together. */
    static final double USED_RATE_FRACTION = 0.6;

    /** Views that may differ at the same time without exceeding the bound. */
    private static final int MAX_VIEWS = 2;

    /** Maximum number of gateways that send to a cold target. */
    static final int MAX_SENDERS = 6;

    /** Tokens of a full bucket: requests that a gateway may send at once. */
    private static final double BURST = 1;

    private static final int MAX_BUCKETS = 4_096;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final VmId mSelf;
    private final ColdTargets mColdTargets;
    private final FleetHistory mFleets;
    private final Ticker mTicker;

    /** Buckets by target incarnation; one that is evicted starts empty again. */
    private final Map<String, Bucket> mBuckets =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Bucket> eldest) {
                    return size() > MAX_BUCKETS;
                }
            };

    /** Tokens of this gateway for one cold target. It is empty at first. */
    private static final class Bucket {
        private double mTokens;
        private long mFilledMillis;
        private List<Fleet> mViews = List.of();
        private boolean mSender;

        Bucket(long nowMillis) {
            mFilledMillis = nowMillis;
        }

        void empty(long nowMillis) {
            mTokens = 0;
            mFilledMillis = nowMillis;
        }

        void fill(double ratePerSecond, long nowMillis) {
            double added = (nowMillis - mFilledMillis) * ratePerSecond / MILLIS_PER_SECOND;
            mTokens = Math.min(BURST, mTokens + added);
            mFilledMillis = nowMillis;
        }
    }

    /**
     * Creates a rule without tokens for any target.
     *
     * @param self VM of this gateway
     * @param coldTargets targets that are cold
     * @param fleets recent views of the fleet
     * @param ticker monotonic clock
     */
    public ColdTargetRule(VmId self, ColdTargets coldTargets, FleetHistory fleets, Ticker ticker) {
        mSelf = self;
        mColdTargets = coldTargets;
        mFleets = fleets;
        mTicker = ticker;
    }

    /**
     * Returns the number of gateways of one view that send to a cold target: so few that the rates
     * and bursts of {@link #MAX_VIEWS} views stay below the bound.
     *
     * @param coldPerSecond rate of the target
     */
    static int senderCount(double coldPerSecond) {
        double forBursts =
                BOUND_CONSTANT
                        + (BOUND_RATE_FACTOR - MAX_VIEWS * USED_RATE_FRACTION) * coldPerSecond;
        return (int) Math.min(MAX_SENDERS, forBursts / (MAX_VIEWS * BURST));
    }

    /**
     * Records for how long a target says in a response that it is cold.
     *
     * @param target the target
     * @param remainingMillis time for which it is cold, in milliseconds; 0 if it does not say so
     * @return whether the target was not cold before and is now
     */
    public boolean recordResponse(Target target, long remainingMillis) {
        return remainingMillis > 0 && mColdTargets.recordResponse(target, remainingMillis);
    }

    /** Returns whether a target is cold and its service bounds the requests to it. */
    public boolean isLimited(Target target, Service service) {
        return service.coldPerSecond() > 0 && mColdTargets.isCold(target, service);
    }

    /**
     * Returns whether a request may be sent to a target at this time.
     *
     * @param target the target
     * @param service its service
     */
    public boolean admits(Target target, Service service) {
        if (service.coldPerSecond() <= 0) {
            return true;
        }
        if (!isLimited(target, service)) {
            mBuckets.remove(target.incarnation());
            return true;
        }
        return filledBucket(target, service).mTokens >= BURST;
    }

    /**
     * Takes the token for a request that is sent now, if the target needs one.
     *
     * @param target the target
     * @param service its service
     * @return whether the request may be sent
     */
    public boolean acquire(Target target, Service service) {
        if (!admits(target, service)) {
            return false;
        }
        Bucket bucket = mBuckets.get(target.incarnation());
        if (bucket != null) {
            bucket.mTokens -= 1;
        }
        return true;
    }

    private Bucket filledBucket(Target target, Service service) {
        long now = mTicker.readMillis();
        Bucket bucket =
                mBuckets.computeIfAbsent(target.incarnation(), incarnation -> new Bucket(now));
        int senders = senderCount(service.coldPerSecond());
        List<Fleet> views = mFleets.recentViews();
        if (views != bucket.mViews) {
            bucket.mViews = views;
            bucket.mSender =
                    !views.isEmpty()
                            && views.stream().allMatch(fleet -> isSender(fleet, target, senders));
        }
        if (bucket.mSender) {
            // The divisor is fixed, so that a view without some gateways sends no more.
            bucket.fill(USED_RATE_FRACTION * service.coldPerSecond() / senders, now);
        } else {
            bucket.empty(now);
        }
        return bucket;
    }

    /**
     * Returns whether this gateway is one of those that send to a target. Gateways in its zone come
     * first, as they would select it anyway.
     */
    private boolean isSender(Fleet fleet, Target target, int senders) {
        Member self = fleet.member(mSelf).orElse(null);
        if (self == null || !self.state().acceptsNewCallers()) {
            return false;
        }
        long before =
                fleet.members().stream()
                        .filter(member -> member.state().acceptsNewCallers())
                        .filter(member -> precedes(member, self, target))
                        .count();
        return before < senders;
    }

    private static boolean precedes(Member member, Member self, Target target) {
        boolean inZone = member.zone().equals(target.zone());
        if (inZone != self.zone().equals(target.zone())) {
            return inZone;
        }
        return Rendezvous.weight(target.id(), member.vm().value())
                > Rendezvous.weight(target.id(), self.vm().value());
    }
}
