package org.heathercourse.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;

/** Encodes metrics in the Prometheus text format. Stateless. */
public final class PrometheusText {
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};
    private static final double NANOS_PER_SECOND = 1e9;

    private PrometheusText() {}

    /** Encodes all metrics of a registry; gauges whose value is not a number are left out. */
    public static String write(MetricRegistry registry) {
        StringBuilder out = new StringBuilder();
        for (Map.Entry<String, Gauge> e : registry.getGauges().entrySet()) {
            if (e.getValue().getValue() instanceof Number value) {
                appendSample(out, e.getKey(), "", "gauge", value);
            }
        }
        for (Map.Entry<String, Counter> e : registry.getCounters().entrySet()) {
            appendSample(out, e.getKey(), "", "gauge", e.getValue().getCount());
        }
        for (Map.Entry<String, Meter> e : registry.getMeters().entrySet()) {
            appendSample(out, e.getKey(), "_total", "counter", e.getValue().getCount());
        }
        for (Map.Entry<String, Histogram> e : registry.getHistograms().entrySet()) {
            appendSummary(
                    out, e.getKey(), "", e.getValue().getSnapshot(), e.getValue().getCount(), 1);
        }
        for (Map.Entry<String, Timer> e : registry.getTimers().entrySet()) {
            Timer timer = e.getValue();
            Snapshot snapshot = timer.getSnapshot();
            appendSummary(
                    out, e.getKey(), "_seconds", snapshot, timer.getCount(), NANOS_PER_SECOND);
        }
        return out.toString();
    }

    private static String sanitizeName(String name) {
        String clean = name.replaceAll("[^a-zA-Z0-9_:]", "_");
        return Character.isDigit(clean.charAt(0)) ? "_" + clean : clean;
    }

    /** Returns the labels at the end of a metric's name with their braces, or an empty string. */
    private static String labelsOf(String name) {
        int brace = name.indexOf('{');
        return brace < 0 ? "" : name.substring(brace);
    }

    /**
     * Returns the family name of a metric; appends the type of the family if it is not there yet.
     */
    private static String appendFamily(StringBuilder out, String name, String suffix, String type) {
        String clean =
                sanitizeName(name.substring(0, name.length() - labelsOf(name).length()) + suffix);
        String line = "# TYPE " + clean + " " + type + "\n";
        if (out.indexOf(line) < 0) {
            out.append(line);
        }
        return clean;
    }

    private static void appendSample(
            StringBuilder out, String name, String suffix, String type, Number value) {
        out.append(appendFamily(out, name, suffix, type)).append(labelsOf(name));
        out.append(' ').append(value).append('\n');
    }

    private static void appendSummary(
            StringBuilder out,
            String name,
            String suffix,
            Snapshot snapshot,
            long count,
            double divisor) {
        String clean = appendFamily(out, name, suffix, "summary");
        String labels = labelsOf(name);
        String labelsPrefix =
                labels.isEmpty() ? "{" : labels.substring(0, labels.length() - 1) + ",";
        for (double quantile : QUANTILES) {
            out.append(clean)
                    .append(labelsPrefix)
                    .append("quantile=\"")
                    .append(quantile)
                    .append("\"} ");
            out.append(snapshot.getValue(quantile) / divisor).append('\n');
        }
        out.append(clean).append("_count").append(labels).append(' ').append(count).append('\n');
    }
}
