package org.heathercourse.core.burn;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.heathercourse.core.config.ObjectiveSpec;

/**
 * A report of the state of all objectives, worst first. Immutable and safe for use by several
 * threads.
 *
 * <p>For budget windows longer than 30 days only the calls of the last 30 days are counted.
 */
public final class BurnReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final long mEpochMillis;
    private final List<Entry> mEntries;

    /** A line with the data of its plots. */
    record Entry(BurnLine line, BurnSeries series, double allowedRatio) {}

    private BurnReport(long epochMillis, List<Entry> entries) {
        mEpochMillis = epochMillis;
        mEntries = List.copyOf(entries);
    }

    /**
     * Creates the report.
     *
     * @param snapshot counters, merged from all daemons
     * @param objectives the objectives in force
     * @param epochMillis wall-clock time of the report in milliseconds since the epoch
     */
    public static BurnReport of(
            BurnSnapshot snapshot, List<ObjectiveSpec> objectives, long epochMillis) {
        List<Entry> entries = new ArrayList<>();
        for (ObjectiveSpec objective : objectives) {
            BurnSeries series = snapshot.series(ObjectiveKey.of(objective));
            BurnLine line = BurnLine.of(objective, series, epochMillis);
            entries.add(new Entry(line, series, 1 - objective.goodRatio()));
        }
        entries.sort(
                Comparator.comparing((Entry e) -> e.line().state())
                        .thenComparingDouble(e -> e.line().budgetLeftRatio())
                        .thenComparing(e -> e.line().service())
                        .thenComparing(e -> e.line().workspace()));
        return new BurnReport(epochMillis, entries);
    }

    /** Returns the lines, worst first. */
    public List<BurnLine> lines() {
        return mEntries.stream().map(Entry::line).toList();
    }

    /** Returns the report as aligned text with one line per objective. */
    public String toText() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-10s %-24s %-20s %8s %8s %8s %8s %8s %10s%n",
                        "state",
                        "service",
                        "workspace",
                        "5m",
                        "1h",
                        "6h",
                        "3d",
                        "left",
                        "ends in"));
        for (BurnLine line : lines()) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-10s %-24s %-20s %8.2f %8.2f %8.2f %8.2f %7.1f%% %10s%n",
                            line.state().name().toLowerCase(Locale.ROOT),
                            line.service(),
                            line.workspace(),
                            line.burn5m(),
                            line.burn1h(),
                            line.burn6h(),
                            line.burn3d(),
                            100 * line.budgetLeftRatio(),
                            formatBudgetEnd(line.budgetEndsInMillis())));
        }
        return text.toString();
    }

    /**
     * Returns the report as a JSON object.
     *
     * @throws IllegalStateException if the report cannot be written as JSON, which is a bug
     */
    public String toJson() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("epoch_ms", mEpochMillis);
        json.put("objectives", lines());
        try {
            return MAPPER.writeValueAsString(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("burn report has values without a JSON form", e);
        }
    }

    /** Returns the report as one HTML page with inline SVG plots and no external resources. */
    public String toHtml() {
        return BurnHtml.render(mEpochMillis, mEntries);
    }

    /** Formats the time in milliseconds until an error budget is used up. */
    static String formatBudgetEnd(long millis) {
        if (millis < 0) {
            return "-";
        }
        if (millis == 0) {
            return "ended";
        }
        long hours = millis / 3_600_000L;
        return hours >= 48
                ? hours / 24 + " d"
                : hours >= 1 ? hours + " h" : Math.max(1, millis / 60_000L) + " min";
    }
}
