package org.heathercourse.core.target;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.core.model.Zone;

/**
 * Chooses the target of a request by its expected cost in milliseconds.
 *
 * <p>The load pattern that it answers: programs of many turns with growing prompts, spread over
 * gateways that do not see each other's requests. All gateways of a zone send a program to the same
 * target by rendezvous hashing, where its prompt is cached, until the load that they expect there
 * outweighs the prompt. Immutable and safe for use by several threads.
 */
public final class TargetSelector {
    /** Way to a target in another zone and back, with the price of the bytes, in milliseconds. */
    private static final double CROSS_ZONE_COST_MILLIS = 15;

    /** Prompt tokens that an engine computes in a millisecond. */
    private static final double PROMPT_TOKENS_PER_MILLI = 60;

    /** Cost of a target that had no room or failed a moment ago, in milliseconds. */
    private static final double BACKOFF_COST_MILLIS = 2_000;

    /** Time of a request in milliseconds until one has been seen. */
    private static final double INITIAL_RUN_MILLIS = 50;

    /** Slow-down of a target by each request in its batch, as a part of a request's time. */
    private static final double SLOWDOWN_PER_REQUEST_RATIO = 0.01;

    private final Zone mZone;
    private final RandomGenerator mRandom;

    /**
     * What is known about a request.
     *
     * @param affinityKey key whose requests should meet at one target; null if it does not matter
     * @param promptTokens tokens that another target would have to compute again
     * @param gatewaysInZone gateways that share the targets of this zone
     * @param nowMillis present reading of the ticker
     */
    public record SelectionContext(
            String affinityKey, long promptTokens, int gatewaysInZone, long nowMillis) {}

    /**
     * Creates a chooser.
     *
     * @param zone zone of this gateway
     * @param random breaks ties
     */
    public TargetSelector(Zone zone, RandomGenerator random) {
        mZone = zone;
        mRandom = random;
    }

    /**
     * Chooses a target.
     *
     * @param usable targets of the service
     * @param excluded identities of those that are not to be used
     * @param loads load of each target
     * @param context the request
     * @return the target, or empty if all are excluded
     */
    public Optional<Target> select(
            List<Target> usable,
            Set<String> excluded,
            Function<Target, TargetLoad> loads,
            SelectionContext context) {
        String preferredId = preferredId(usable, context);
        Target best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (Target target : usable) {
            if (excluded.contains(target.id())) {
                continue;
            }
            double cost =
                    cost(target, loads.apply(target), target.id().equals(preferredId), context);
            cost += mRandom.nextDouble();
            if (cost < bestCost) {
                best = target;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
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
        return cost + waitMillis(target, load, context);
    }

    /**
     * Estimates the wait. The other gateways of the zone are assumed to have as many requests there
     * as this one.
     */
    private double waitMillis(Target target, TargetLoad load, SelectionContext context) {
        double runMillis = load.meanRunMillis() == 0 ? INITIAL_RUN_MILLIS : load.meanRunMillis();
        int slots = Math.max(1, target.slots());
        double estimatedInFlight = (double) load.inFlight() * Math.max(1, context.gatewaysInZone());
        double excessRequests = Math.max(0, estimatedInFlight + 1 - slots);
        return runMillis
                * (excessRequests / slots + SLOWDOWN_PER_REQUEST_RATIO * estimatedInFlight);
    }
}
