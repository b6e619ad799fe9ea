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
    private static final double OTHER_ZONE_MILLIS = 15;

    /** Prompt tokens that an engine computes in a millisecond. */
    private static final double PROMPT_TOKENS_PER_MILLI = 60;

    /** Cost of a target that had no room or failed a moment ago, in milliseconds. */
    private static final double AVOIDED_MILLIS = 2_000;

    /** Time of a request in milliseconds until one has been seen. */
    private static final double ASSUMED_RUN_MILLIS = 50;

    /** Slow-down of a target by each request in its batch, as a part of a request's time. */
    private static final double SHARING_COST = 0.01;

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
     * @param ask the request
     * @return the target, or empty if all are excluded
     */
    public Optional<Target> select(
            List<Target> usable,
            Set<String> excluded,
            Function<Target, TargetLoad> loads,
            SelectionContext ask) {
        String preferred = preferred(usable, ask);
        Target best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (Target target : usable) {
            if (excluded.contains(target.id())) {
                continue;
            }
            double cost = cost(target, loads.apply(target), target.id().equals(preferred), ask);
            cost += mRandom.nextDouble();
            if (cost < bestCost) {
                best = target;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private String preferred(List<Target> usable, SelectionContext ask) {
        if (ask.affinityKey() == null) {
            return null;
        }
        Target near = highest(usable, ask.affinityKey(), true);
        Target any = near == null ? highest(usable, ask.affinityKey(), false) : near;
        return any == null ? null : any.id();
    }

    private Target highest(List<Target> usable, String key, boolean inZoneOnly) {
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

    private double cost(Target target, TargetLoad load, boolean preferred, SelectionContext ask) {
        boolean near = target.zone().equals(mZone);
        double cost = near ? 0 : OTHER_ZONE_MILLIS;
        if (ask.affinityKey() != null && !preferred) {
            cost += ask.promptTokens() / PROMPT_TOKENS_PER_MILLI;
        }
        if (load.isInBackoff(ask.nowMillis())) {
            cost += AVOIDED_MILLIS;
        }
        return cost + waitMillis(target, load, ask);
    }

    /**
     * Estimates the wait. The other gateways of the zone are assumed to have as many requests there
     * as this one.
     */
    private double waitMillis(Target target, TargetLoad load, SelectionContext ask) {
        double runMillis = load.meanRunMillis() == 0 ? ASSUMED_RUN_MILLIS : load.meanRunMillis();
        int slots = Math.max(1, target.slots());
        double running = (double) load.inFlight() * Math.max(1, ask.gatewaysInZone());
        double queued = Math.max(0, running + 1 - slots);
        return runMillis * (queued / slots + SHARING_COST * running);
    }
}
