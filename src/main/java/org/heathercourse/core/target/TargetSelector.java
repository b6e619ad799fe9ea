package org.heathercourse.core.target;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.core.model.Zone;

/**
 * Selects the target of a request with the lowest expected cost in milliseconds.
 *
 * <p>Designed for programs of many turns with growing prompts, spread over gateways that do not see
 * each other's requests. By rendezvous hashing, all gateways of a zone send a program to the same
 * target, which caches its prompt, until the expected wait there costs more than recomputing the
 * prompt elsewhere. Immutable; thread-safe if the random generator is.
 */
public final class TargetSelector {
    /** Round trip to a target in another zone, including the price of the transferred bytes. */
    private static final double CROSS_ZONE_COST_MILLIS = 15;

    /** Assumed rate at which an engine computes prompt tokens. */
    private static final double PROMPT_TOKENS_PER_MILLI = 60;

    /** Cost of a target that recently rejected or failed a request. */
    private static final double BACKOFF_COST_MILLIS = 2_000;

    private final Zone mZone;
    private final RandomGenerator mRandom;
    private final WaitEstimator mWaits;

    /**
     * Properties of a request that affect the selection. Immutable.
     *
     * @param affinityKey key whose requests should go to the same target; null for no affinity
     * @param promptTokens tokens that another target would have to recompute
     * @param gatewaysInZone number of gateways that share the targets of this zone
     * @param nowMillis current timestamp of the ticker
     */
    public record SelectionContext(
            String affinityKey, long promptTokens, int gatewaysInZone, long nowMillis) {}

    /**
     * Creates a selector that estimates waits from the requests of this gateway.
     *
     * @param zone zone of this gateway
     * @param random random generator that breaks ties; it adds up to 1 ms of cost
     */
    public TargetSelector(Zone zone, RandomGenerator random) {
        this(zone, random, new LocalWaitEstimator());
    }

    /**
     * Creates a selector.
     *
     * @param zone zone of this gateway
     * @param random random generator that breaks ties; it adds up to 1 ms of cost
     * @param waits estimates the wait at a target
     */
    public TargetSelector(Zone zone, RandomGenerator random, WaitEstimator waits) {
        mZone = zone;
        mRandom = random;
        mWaits = waits;
    }

    /**
     * Selects a target.
     *
     * @param usable usable targets of the service
     * @param permitted returns whether the target with an identity may be selected
     * @param loads returns the load of a target
     * @param context properties of the request
     * @return the selected target, or empty if none is permitted and running
     */
    public Optional<Target> select(
            List<Target> usable,
            Predicate<String> permitted,
            Function<Target, TargetLoad> loads,
            SelectionContext context) {
        String preferredId = preferredId(usable, context);
        Target best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (Target target : usable) {
            TargetLoad load = loads.apply(target);
            if (!permitted.test(target.id()) || load.hasEnded(context.nowMillis())) {
                continue;
            }
            double cost = cost(target, load, target.id().equals(preferredId), context);
            cost += mRandom.nextDouble();
            if (cost < bestCost) {
                best = target;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether a target is the one to which the programs of the affinity key go unless its
     * wait costs too much.
     *
     * @param usable usable targets of the service
     * @param target the target
     * @param context properties of the request
     */
    public boolean isPreferred(List<Target> usable, Target target, SelectionContext context) {
        return target.id().equals(preferredId(usable, context));
    }

    private String preferredId(List<Target> usable, SelectionContext context) {
        if (context.affinityKey() == null) {
            return null;
        }
        Target inZone = highestWeight(usable, context.affinityKey(), true);
        Target any = inZone == null ? highestWeight(usable, context.affinityKey(), false) : inZone;
        return any == null ? null : any.id();
    }

    private Target highestWeight(List<Target> usable, String key, boolean inZoneOnly) {
        Target best = null;
        long bestWeight = Long.MIN_VALUE;
        for (Target target : usable) {
            long weight = Rendezvous.weight(key, target.id());
            if ((!inZoneOnly || target.zone().equals(mZone)) && weight >= bestWeight) {
                best = target;
                bestWeight = weight;
            }
        }
        return best;
    }

    private double cost(
            Target target, TargetLoad load, boolean preferred, SelectionContext context) {
        boolean inZone = target.zone().equals(mZone);
        double cost = inZone ? 0 : CROSS_ZONE_COST_MILLIS;
        if (context.affinityKey() != null && !preferred) {
            cost += context.promptTokens() / PROMPT_TOKENS_PER_MILLI;
        }
        if (load.isInBackoff(context.nowMillis())) {
            cost += BACKOFF_COST_MILLIS;
        }
        return cost + mWaits.waitMillis(target, load, preferred, context);
    }
}
