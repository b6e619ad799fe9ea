package org.heathercourse.core.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Speeds of targets, computed from expected and measured run times of recent requests.
 *
 * <p>Load pattern: engines of one service differ in speed by a factor of 2.4, and some stall for a
 * while. The median over a service covers what all its engines have in common, such as outputs that
 * are shorter than announced; a target with few samples counts as the median. Immutable.
 */
public final class SpeedTable {
    /** Without samples. */
    public static final SpeedTable EMPTY = new SpeedTable(Map.of(), Map.of());

    /** Run time in milliseconds that a target without samples is assumed to have at the median. */
    private static final double PRIOR_RUN_MILLIS = 300;

    /** Bounds of the speed relative to the median; a few samples can show anything. */
    private static final double MIN_RELATIVE_SPEED = 0.1;

    private static final double MAX_RELATIVE_SPEED = 4;

    /** Bounds of the median, outside of which the samples are not credible. */
    private static final double MIN_MEDIAN = 0.05;

    private static final double MAX_MEDIAN = 20;

    private final Map<String, Double> mMedians;
    private final Map<String, Double> mSpeeds;

    private SpeedTable(Map<String, Double> medians, Map<String, Double> speeds) {
        mMedians = medians;
        mSpeeds = speeds;
    }

    /**
     * Computes the speeds.
     *
     * @param work work by incarnation of the target
     * @param serviceOf returns the service of the incarnation of a target; null if it is unknown
     */
    public static SpeedTable of(Map<String, TargetWork> work, Function<String, String> serviceOf) {
        Map<String, List<Double>> ratios = new HashMap<>();
        work.forEach(
                (target, w) -> {
                    String service = serviceOf.apply(target);
                    if (service != null && w.runMillis() > 0 && w.expectedMillis() > 0) {
                        ratios.computeIfAbsent(service, s -> new ArrayList<>())
                                .add((double) w.expectedMillis() / w.runMillis());
                    }
                });
        Map<String, Double> medians = new HashMap<>();
        ratios.forEach((service, values) -> medians.put(service, median(values)));
        Map<String, Double> speeds = new HashMap<>();
        work.forEach(
                (target, w) -> {
                    double median = medians.getOrDefault(serviceOf.apply(target), 1.0);
                    speeds.put(target, speed(w, median));
                });
        return new SpeedTable(medians, speeds);
    }

    private static double median(List<Double> values) {
        values.sort(Double::compare);
        int middle = values.size() / 2;
        double median =
                values.size() % 2 == 1
                        ? values.get(middle)
                        : (values.get(middle - 1) + values.get(middle)) / 2;
        return Math.max(MIN_MEDIAN, Math.min(MAX_MEDIAN, median));
    }

    private static double speed(TargetWork work, double median) {
        double relative =
                (work.expectedMillis() / median + PRIOR_RUN_MILLIS)
                        / (work.runMillis() + PRIOR_RUN_MILLIS);
        return median * Math.max(MIN_RELATIVE_SPEED, Math.min(MAX_RELATIVE_SPEED, relative));
    }

    /**
     * Returns the speed of a target, by which nominal times are divided.
     *
     * @param incarnation incarnation of the target
     * @param service its service
     */
    public double speed(String incarnation, String service) {
        Double speed = mSpeeds.get(incarnation);
        return speed != null ? speed : median(service);
    }

    /** Returns the median speed of the targets of a service; 1 without samples. */
    public double median(String service) {
        return mMedians.getOrDefault(service, 1.0);
    }
}
