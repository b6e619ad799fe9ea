package org.heathercourse.core.limits;

import java.util.Collection;

/**
 * Decides how a workspace's rate, burst and tokens should be divided among its holders.
 *
 * <p>Rates follow demand: max-min when demand exceeds the rate, in proportion to demand otherwise.
 * The ledger enforces the limits; this class only states targets. Stateless.
 */
final class SharePolicy {
    /** Demand that a holder gets on top of what it reported, since demand varies. */
    private static final double HEADROOM = 1.15;

    /** Smallest need, so that a holder with little traffic is not shut out. */
    private static final double MIN_NEED = 0.05;

    /** Share of rate and burst that goes to holders; the rest serves holders that run low. */
    private static final double HANDED_OUT = 0.9;

    /** What a holder should have; tokens within the slack are not taken back. */
    record Target(double rate, double capacity, double tokens, double slack) {}

    Target target(
            ShareEntry entry,
            Collection<ShareEntry> all,
            double rate,
            double burst,
            double centralTokens) {
        double needs = 0;
        double tokens = centralTokens;
        for (ShareEntry other : all) {
            needs += need(other);
            tokens += other.tokens;
        }
        double own = need(entry);
        double targetRate;
        if (needs <= rate) {
            targetRate = Math.max(own, own * rate * HANDED_OUT / needs);
        } else {
            targetRate = Math.min(own, waterLevel(all, rate));
        }
        double part = own / needs;
        double capacity = Math.min(burst, Math.max(1, part * burst * HANDED_OUT));
        double share = part * tokens * HANDED_OUT;
        return new Target(targetRate, capacity, Math.min(share, capacity), 1 + share * 0.25);
    }

    private static double need(ShareEntry entry) {
        return Math.max(MIN_NEED, entry.demand * HEADROOM);
    }

    /** Returns the level such that the needs, cut off at the level, add up to the rate. */
    private static double waterLevel(Collection<ShareEntry> all, double rate) {
        double[] needs = all.stream().mapToDouble(SharePolicy::need).sorted().toArray();
        double rest = rate;
        for (int i = 0; i < needs.length; i++) {
            double equal = rest / (needs.length - i);
            if (needs[i] >= equal) {
                return equal;
            }
            rest -= needs[i];
        }
        return needs.length == 0 ? rate : needs[needs.length - 1];
    }
}
