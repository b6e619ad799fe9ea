package org.heathercourse.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.heathercourse.core.config.PolicySpec;

/** Ranks the candidate targets of a call by estimated cost. Stateless and thread-safe. */
public final class CandidateRanking {
    private CandidateRanking() {}

    /**
     * A candidate with its estimated cost.
     *
     * @param index index of the candidate in the input list
     * @param estimate estimated cost
     * @param migrate whether to copy the cache from the migration source first
     */
    public record Ranked(int index, Estimate estimate, boolean migrate) {}

    /**
     * Returns the candidates in ascending order of cost; equal costs keep the input order.
     *
     * @param candidates targets that can run the call
     * @param call estimated size of the call
     * @param policy cost weights
     */
    public static List<Ranked> rank(List<Candidate> candidates, CallSize call, PolicySpec policy) {
        List<Ranked> ranked = new ArrayList<>(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            ranked.add(rankCandidate(i, candidates.get(i), call, policy));
        }
        ranked.sort(Comparator.comparingDouble(r -> r.estimate().costMillis()));
        return ranked;
    }

    private static Ranked rankCandidate(
            int index, Candidate candidate, CallSize call, PolicySpec policy) {
        TargetSnapshot target = candidate.snapshot();
        Estimate computeEstimate =
                PlacementCost.estimate(target, call, candidate.cachedTokens(), policy);
        double sourceTokens = Math.min(candidate.sourceTokens(), call.promptTokens());
        if (sourceTokens <= candidate.cachedTokens()) {
            return new Ranked(index, computeEstimate, false);
        }
        Estimate copyEstimate =
                PlacementCost.estimate(target, call, sourceTokens, policy)
                        .plusMillis(
                                MigrationRule.copyMillis(sourceTokens, candidate.sourceLink()),
                                MigrationRule.MIN_GAIN_MILLIS
                                        + MigrationRule.priceMillis(
                                                sourceTokens, candidate.sourceLink(), policy));
        return copyEstimate.costMillis() < computeEstimate.costMillis()
                ? new Ranked(index, copyEstimate, true)
                : new Ranked(index, computeEstimate, false);
    }
}
