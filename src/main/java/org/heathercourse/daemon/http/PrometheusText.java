package org.heathercourse.daemon.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;

/** Writes metrics in the Prometheus text format. */
final class PrometheusText {
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};
    private static final double NANOS_PER_SECOND = 1e9;

    private PrometheusText() {}

    static String write(MetricRegistry registry) {
        StringBuilder out = new StringBuilder();
        for (Map.Entry<String, Gauge> e : registry.getGauges().entrySet()) {
            if (e.getValue().getValue() instanceof Number value) {
                single(out, e.getKey(), "gauge", value);
            }
        }
        for (Map.Entry<String, Counter> e : registry.getCounters().entrySet()) {
            single(out, e.getKey(), "gauge", e.getValue().getCount());
        }
        for (Map.Entry<String, Meter> e : registry.getMeters().entrySet()) {
            single(out, e.getKey() + "_total", "counter", e.getValue().getCount());
        }
        for (Map.Entry<String, Histogram> e : registry.getHistograms().entrySet()) {
            summary(out, e.getKey(), e.getValue().getSnapshot(), e.getValue().getCount(), 1);
        }
        for (Map.Entry<String, Timer> e : registry.getTimers().entrySet()) {
            Timer timer = e.getValue();
            String name = e.getKey() + "_seconds";
            summary(out, name, timer.getSnapshot(), timer.getCount(), NANOS_PER_SECOND);
        }
        return out.toString();
    }

    private static String name(String name) {
        String clean = name.replaceAll("[^a-zA-Z0-9_:]", "_");
        return Character.isDigit(clean.charAt(0)) ? "_" + clean : clean;
    }

    private static void single(StringBuilder out, String name, String type, Number value) {
        String clean = name(name);
        out.append("# TYPE ").append(clean).append(' ').append(type).append('\n');
        out.append(clean).append(' ').append(value).append('\n');
    }

    private static void summary(
            StringBuilder out, String name, Snapshot snapshot, long count, double divisor) {
        String clean = name(name);
        out.append("# TYPE ").append(clean).append(" summary\n");
        for (double quantile : QUANTILES) {
            out.append(clean).append("{quantile=\"").append(quantile).append("\"} ");
            out.append(snapshot.getValue(quantile) / divisor).append('\n');
        }
        out.append(clean).append("_count ").append(count).append('\n');
    }
}
