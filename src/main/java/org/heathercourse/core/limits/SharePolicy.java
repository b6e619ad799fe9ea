package org.heathercourse.core.limits;

import java.util.Collection;

/**
 * Decides how a workspace's rate, burst and tokens should be divided among its holders.
 *
 * <p>Rates follow demand: max-min when demand exceeds the rate, in proportion to demand otherwise.
 * The ledger enforces the limits; this class only states targets. Stateless.
 */
final class SharePolicy {
    /** Absorbs the rounding of sums of doubles. */
    private static final double ROUNDING = 1e-9;

    /** Smallest demand, so that a holder with little traffic is not shut out. */
    private static final double MIN_DEMAND = 0.05;

    /**
     * Up to this ratio of demand to rate, shares are proportional: measured demand varies, and
     * max-min would take all of a short excess from the holder with the most traffic.
     */
    private static final double HEADROOM = 1.25;

    /** Part of the tokens that holders keep; the rest serves holders that run low. */
    private static final double HELD_TOKENS = 0.7;

    /** Part of the burst that holders may hold by demand, and equally for small demands. */
    private static final double HELD_BY_DEMAND = 0.5;

    private static final double HELD_EQUALLY = 0.2;

    /**
     * Fill that a holder may accumulate: a base for the variation of small demands, and seconds of
     * fill. Too little loses tokens when arrivals pause, too much leaves the central bucket no
     * room.
     */
    private static final double BASE_CAPACITY = 4;

    private static final double ACCUMULATED_SECONDS = 0.4;

    /**
     * A holder that is filled more slowly than this per second gets no fill. It gets tokens for
     * requests that wait; fractions of tokens spread over many holders would be of no use to any.
     */
    private static final double LEAST_FILL = 1;

    /** Likewise a holder that may hold less than this, if it can ask for most of its tokens. */
    private static final double LEAST_ROOM_IF_SLOW = 4;

    private static final double LEAST_ROOM = 1.5;

    /** Fill per second from which on the spacing of requests makes asking for tokens too slow. */
    private static final double SLOW_FILL = 5;

    /**
     * Central tokens for each holder without fill from which on it gets a token ahead of its next
     * request, so that the request need not wait for the grantor.
     */
    private static final double SPARE_PER_HOLDER = 1;

    /** Fill beyond the demand that a holder gets when the rate is not used up. */
    private static final double SPARE_RATIO = 1.5;

    /** Part of the rate that a holder may get beyond that, so that it can grow from nothing. */
    private static final double SPARE_RATE = 0.02;

    /** Most tokens that a holder gets beyond the top-up, in seconds of its demand. */
    private static final double GOAL_SECONDS = 2;

    /** Tokens that a holder which runs low gets at least, in seconds of its demand. */
    private static final double TOP_UP_SECONDS = 0.3;

    /** Part of the central tokens that a holder which runs low gets on top of that. */
    private static final double TOP_UP_PART = 0.05;

    /**
     * What a holder should have. Tokens may exceed the capacity, which then follows them; tokens
     * within the slack are not taken back.
     */
    record Target(double rate, double capacity, double tokens, double slack) {
        /**
         * Returns the tokens to move to a holder, or, if negative, the tokens to take back.
         *
         * @param held tokens that the holder has
         * @param free tokens that can be moved to it
         */
        double wanted(double held, double free) {
            if (rate > 0) {
                double missing = tokens - held;
                return missing > 0 ? Math.min(missing, free) : -missing >= slack ? missing : 0;
            }
            // Without fill, a fraction of a token would never become a whole one.
            double whole = Math.min(Math.ceil(tokens), Math.floor(held + free + ROUNDING));
            return Math.min(free, whole - held);
        }
    }

    Target target(
            ShareEntry entry,
            Collection<ShareEntry> all,
            double rate,
            double burst,
            double centralTokens) {
        double demands = 0;
        double tokens = centralTokens;
        for (ShareEntry other : all) {
            demands += need(other);
            tokens += other.tokens;
        }
        boolean scarce = demands > rate * HEADROOM;
        double level = scarce ? waterLevel(all, rate) : Double.POSITIVE_INFINITY;
        double own = Math.min(need(entry), level);
        double part = own / (scarce ? rate : demands);
        double fill = Math.min(part * rate, own * SPARE_RATIO + rate * SPARE_RATE);
        double room = burst * (HELD_BY_DEMAND * part + HELD_EQUALLY / all.size());
        double leastRoom = fill < SLOW_FILL ? LEAST_ROOM_IF_SLOW : LEAST_ROOM;
        if (room < leastRoom || fill < LEAST_FILL) {
            double spare = Math.floor(centralTokens / (SPARE_PER_HOLDER * all.size()));
            double ahead = Math.min(spare, Math.ceil(own * TOP_UP_SECONDS));
            return new Target(0, 0, Math.min(burst, entry.waiting + ahead), 1);
        }
        // The less a holder can accumulate, the more of its fill would overflow.
        fill *= 1 - 1 / (1 + room);
        double topUp =
                Math.min(room, 1 + own * TOP_UP_SECONDS + centralTokens * TOP_UP_PART)
                        + entry.waiting;
        double goal = Math.min(part * tokens * HELD_TOKENS, topUp + own * GOAL_SECONDS);
        // A holder that is cut off at the level would take the tokens that the others need.
        if (entry.tokens < topUp && own < level) {
            goal = Math.max(goal, topUp);
        }
        double accumulated = BASE_CAPACITY + fill * ACCUMULATED_SECONDS;
        double capacity = Math.min(room, goal + accumulated);
        return new Target(fill, capacity, Math.min(burst, goal), 1 + goal * 0.1);
    }

    private static double need(ShareEntry entry) {
        return Math.max(MIN_DEMAND, entry.demand);
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
