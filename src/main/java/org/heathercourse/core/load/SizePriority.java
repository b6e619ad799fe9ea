package org.heathercourse.core.load;

/**
 * Priority that targets see, if short requests go before long ones within a route's priority.
 *
 * <p>Load pattern: prompts of one service range up to five times the mean, and a long one delays
 * all that wait behind it. A long request is not held back once it has waited for a part of its
 * objective or once its program has little time left, so that a steady flow of short ones does not
 * starve it. Stateless.
 */
public final class SizePriority {
    private static final int SIZE_CLASSES = 3;
    private static final int MAX_PRIORITY = 9;

    /** Largest ratio of prompt time to objective of the first and of the second size class. */
    private static final double SHORT_RATIO = 0.1;

    private static final double MEDIUM_RATIO = 0.3;

    /** Ratio of the wait to the objective from which a request counts as short. */
    private static final double WAITED_RATIO = 0.25;

    /** Ratio of a program's remaining time to the objective below which a request is short. */
    private static final double NEAR_DEADLINE_RATIO = 3;

    /**
     * Properties of a request. Immutable.
     *
     * @param promptTokens tokens of the prompt that the target has to compute
     * @param objectiveMillis latency objective of its route, in milliseconds
     * @param waitedMillis time since its arrival, in milliseconds
     * @param programRemainingMillis time left for its program, in milliseconds; {@link
     *     Long#MAX_VALUE} if it is not bounded
     */
    public record Request(
            long promptTokens,
            long objectiveMillis,
            long waitedMillis,
            long programRemainingMillis) {}

    private SizePriority() {}

    /**
     * Returns the priority of a request, from 0 (first) to 9. Route priorities from 3 up have no
     * size classes, as there are only ten values.
     *
     * @param routePriority priority of the route or workspace, from 0 (first) to 9
     * @param request properties of the request
     */
    public static int of(int routePriority, Request request) {
        return Math.min(MAX_PRIORITY, routePriority * SIZE_CLASSES + sizeClass(request));
    }

    private static int sizeClass(Request request) {
        double objectiveMillis = Math.max(1, request.objectiveMillis());
        if (request.waitedMillis() >= WAITED_RATIO * objectiveMillis
                || request.programRemainingMillis() < NEAR_DEADLINE_RATIO * objectiveMillis) {
            return 0;
        }
        double ratio = EngineCost.promptMillis(request.promptTokens()) / objectiveMillis;
        if (ratio <= SHORT_RATIO) {
            return 0;
        }
        return ratio <= MEDIUM_RATIO ? 1 : 2;
    }
}
