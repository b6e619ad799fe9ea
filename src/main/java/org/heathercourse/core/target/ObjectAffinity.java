package org.heathercourse.core.target;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.heathercourse.core.fleet.Rendezvous;
import org.heathercourse.core.model.Zone;

/**
 * Selects the target that has probably kept the object of a request.
 *
 * <p>Load pattern: many short requests that name objects, some of them much more often than others.
 * By rendezvous hashing, all gateways of a zone prefer the same target for an object. As a kept
 * object saves little, the preference yields as soon as the target would make requests wait.
 * Immutable and thread-safe.
 */
public final class ObjectAffinity {
    /** Assumed part of the run time of a request that a kept object saves: a few milliseconds. */
    static final double KEPT_OBJECT_GAIN_RATIO = 0.1;

    /**
     * Run time, relative to that of the other targets in the zone, from which a target is not
     * preferred. Requests of other gateways that wait there show in the run time only; a smaller
     * ratio would also exclude targets by the spread of their run times.
     */
    static final double MAX_RUN_TIME_RATIO = 1.5;

    private final Zone mZone;

    /**
     * Creates a rule.
     *
     * @param zone zone of this gateway
     */
    public ObjectAffinity(Zone zone) {
        mZone = zone;
    }

    /**
     * Returns the target that is preferred for an object.
     *
     * @param usable usable targets of the service
     * @param permitted returns whether the target with an identity may be selected
     * @param loads returns the load of a target
     * @param objectKey name of the object
     * @param gatewaysInZone number of gateways that share the targets of the zone
     * @param nowMillis current timestamp of the ticker
     * @return the target, or empty if load decides alone
     */
    public Optional<Target> preferred(
            List<Target> usable,
            Predicate<String> permitted,
            Function<Target, TargetLoad> loads,
            String objectKey,
            int gatewaysInZone,
            long nowMillis) {
        List<Target> inZone = usable.stream().filter(t -> t.zone().equals(mZone)).toList();
        Target preferred = highestWeight(inZone, objectKey);
        if (preferred == null || !permitted.test(preferred.id())) {
            return Optional.empty();
        }
        TargetLoad load = loads.apply(preferred);
        if (load.hasEnded(nowMillis) || load.isInBackoff(nowMillis)) {
            return Optional.empty();
        }
        List<TargetLoad> others =
                inZone.stream()
                        .filter(target -> target != preferred && permitted.test(target.id()))
                        .map(loads)
                        .filter(l -> !l.hasEnded(nowMillis) && !l.isInBackoff(nowMillis))
                        .toList();
        boolean isWithinBound =
                hasFreeSlot(preferred, load, gatewaysInZone)
                        && isWorthExtraLoad(load, others, gatewaysInZone)
                        && !isSlow(load, others);
        return isWithinBound ? Optional.of(preferred) : Optional.empty();
    }

    private static Target highestWeight(List<Target> targets, String objectKey) {
        // Hashed once: a caller may send a long key.
        String key = Long.toHexString(Rendezvous.weight(objectKey, ""));
        Target best = null;
        long bestWeight = Long.MIN_VALUE;
        for (Target target : targets) {
            long weight = Rendezvous.weight(key, target.id());
            if (best == null || weight > bestWeight) {
                best = target;
                bestWeight = weight;
            }
        }
        return best;
    }

    /** Returns whether the request would not wait, if each gateway had as many there as this. */
    private static boolean hasFreeSlot(Target target, TargetLoad load, int gatewaysInZone) {
        return (double) load.inFlight() * Math.max(1, gatewaysInZone) + 1 <= target.slots();
    }

    /** Returns whether requests beyond those at the idlest other target cost less than the gain. */
    private static boolean isWorthExtraLoad(
            TargetLoad load, List<TargetLoad> others, int gatewaysInZone) {
        int least = others.stream().mapToInt(TargetLoad::inFlight).min().orElse(Integer.MAX_VALUE);
        double extra = (double) Math.max(0, load.inFlight() - least) * Math.max(1, gatewaysInZone);
        return extra * LocalWaitEstimator.SLOWDOWN_PER_REQUEST_RATIO <= KEPT_OBJECT_GAIN_RATIO;
    }

    private static boolean isSlow(TargetLoad load, List<TargetLoad> others) {
        double mean =
                others.stream()
                        .mapToDouble(TargetLoad::meanRunMillis)
                        .filter(millis -> millis > 0)
                        .average()
                        .orElse(Double.POSITIVE_INFINITY);
        return load.meanRunMillis() > MAX_RUN_TIME_RATIO * mean;
    }
}
