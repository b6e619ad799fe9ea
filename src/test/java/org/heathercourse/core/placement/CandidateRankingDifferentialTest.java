package org.heathercourse.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.heathercourse.core.config.PolicySpec;
import org.heathercourse.core.model.TargetId;
import org.junit.jupiter.api.Test;

/** Compares the ranking of candidates with a reference cost formula on random states. */
class CandidateRankingDifferentialTest {
    private static final long SEED = 20_260_101L;

    /** Guards against a ranking whose first target does not have the minimum cost. */
    @Test
    void ranksCandidatesLikeFullScan() {
        System.out.println("seed=" + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        for (int round = 0; round < 2_000; round++) {
            PolicySpec policy =
                    new PolicySpec(0.5, random.nextDouble(3), random.nextDouble(100), 0.1);
            List<Candidate> candidates = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(6); i++) {
                candidates.add(candidate(i, random));
            }
            CallSize call =
                    new CallSize(
                            1 + random.nextInt(20_000),
                            random.nextInt(4) * 100,
                            random.nextBoolean());
            List<CandidateRanking.Ranked> ranked = CandidateRanking.rank(candidates, call, policy);
            double minCost = Double.POSITIVE_INFINITY;
            for (Candidate candidate : candidates) {
                minCost = Math.min(minCost, referenceCost(candidate, call, policy));
            }
            assertThat(ranked).hasSameSizeAs(candidates);
            assertThat(ranked.get(0).estimate().costMillis()).isCloseTo(minCost, within(1e-6));
            assertThat(referenceCost(candidates.get(ranked.get(0).index()), call, policy))
                    .as("round " + round)
                    .isCloseTo(minCost, within(1e-6));
        }
    }

    private static Candidate candidate(int i, SplittableRandom random) {
        TargetSnapshot snapshot =
                new TargetSnapshot(
                        new TargetId("t" + i),
                        1 + random.nextInt(64),
                        random.nextInt(128),
                        random.nextInt(10_000),
                        random.nextDouble(0.2),
                        random.nextDouble(60),
                        random.nextDouble(5_000),
                        random.nextDouble(),
                        link(random));
        return new Candidate(
                snapshot, random.nextInt(20_000), random.nextInt(20_000), link(random));
    }

    private static LinkCost link(SplittableRandom random) {
        return new LinkCost(random.nextDouble(20), random.nextDouble(0.05), random.nextDouble(2));
    }

    private static double referenceCost(Candidate c, CallSize call, PolicySpec policy) {
        double computeCost = costWith(c, call, policy, c.cachedTokens());
        double sourceTokens = Math.min(c.sourceTokens(), call.promptTokens());
        if (sourceTokens <= c.cachedTokens()) {
            return computeCost;
        }
        double copyCost =
                costWith(c, call, policy, sourceTokens)
                        + 40
                        + roundTripMillis(c.sourceLink())
                        + sourceTokens / 30
                        + 2_000
                        + policy.pricePenaltyMillisPerUnit()
                                * c.sourceLink().pricePerGigabyte()
                                * sourceTokens
                                * 1e-4;
        return Math.min(computeCost, copyCost);
    }

    private static double costWith(Candidate c, CallSize call, PolicySpec policy, double cached) {
        TargetSnapshot t = c.snapshot();
        double prompt = Math.max(0, call.promptTokens() - cached) * t.promptTokenMillis();
        double overflow = Math.max(0, t.inFlight() + 1 - t.slots());
        double wait =
                overflow / t.slots() * t.meanCallMillis()
                        + t.backlogTokens() * t.promptTokenMillis();
        double output =
                (call.expectedTokens() == 0
                                ? t.meanCallMillis()
                                : call.expectedTokens() * t.outputTokenMillis())
                        * (1 + 0.35 * Math.min(1, t.inFlight() / t.slots()));
        double bytes = (call.promptTokens() + call.expectedTokens()) * 5.0;
        return (call.urgent() ? 0.1 * wait : wait)
                + prompt
                + prompt * Math.min(t.inFlight(), t.slots())
                + output
                + policy.zonePenaltyMillisPerDelayMilli() * roundTripMillis(t.link())
                + policy.pricePenaltyMillisPerUnit() * t.link().pricePerGigabyte() * bytes / 1e9;
    }

    private static double roundTripMillis(LinkCost link) {
        return 2 * link.delayMillis() + 2 * link.lossRatio() * 200;
    }
}
