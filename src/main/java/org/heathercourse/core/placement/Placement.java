package org.heathercourse.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.heathercourse.core.config.PolicySpec;

/** Orders the candidates of a call by cost. Pure functions without state. */
public final class Placement {
    private Placement() {}

    /**
     * The cost of a candidate.
     *
     * @param index place of the candidate in the list that was given
     * @param estimate expected cost
     * @param migrate whether to copy the cache from the best other holder first
     */
    public record Ranked(int index, Estimate estimate, boolean migrate) {}

    /**
     * Returns the candidates from the least to the greatest cost; equal costs keep their order.
     *
     * @param candidates targets that may run the call
     * @param call size of the call
     * @param policy weights
     */
    public static List<Ranked> rank(List<Candidate> candidates, CallShape call, PolicySpec policy) {
        List<Ranked> ranked = new ArrayList<>(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            ranked.add(cost(i, candidates.get(i), call, policy));
        }
        ranked.sort(Comparator.comparingDouble(r -> r.estimate().costMillis()));
        return ranked;
    }

    private static Ranked cost(int index, Candidate candidate, CallShape call, PolicySpec policy) {
        TargetSnapshot target = candidate.snapshot();
        Estimate computed = PlacementCost.estimate(target, call, candidate.cachedTokens(), policy);
        double source = Math.min(candidate.sourceTokens(), call.promptTokens());
        if (source <= candidate.cachedTokens()) {
            return new Ranked(index, computed, false);
        }
        Estimate copied =
                PlacementCost.estimate(target, call, source, policy)
                        .plus(
                                MigrationRule.copyMillis(source, candidate.sourceLink()),
                                MigrationRule.MARGIN_MILLIS
                                        + MigrationRule.priceMillis(
                                                source, candidate.sourceLink(), policy));
        return copied.costMillis() < computed.costMillis()
                ? new Ranked(index, copied, true)
                : new Ranked(index, computed, false);
    }
}
