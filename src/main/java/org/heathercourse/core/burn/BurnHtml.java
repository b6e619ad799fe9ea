package org.heathercourse.core.burn;

import java.time.Instant;
import java.util.List;
import java.util.Locale;

/** Renders a {@link BurnReport} as a self-contained HTML page. Stateless. */
final class BurnHtml {
    private static final int PLOT_WIDTH = 360;
    private static final int PLOT_HEIGHT = 60;
    private static final int THREE_DAY_BUCKETS = 144;
    private static final int HOUR_BUCKETS = 60;

    private static final String STYLE =
            "body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}"
                    + "td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}"
                    + "td:nth-child(-n+3),th:nth-child(-n+3){text-align:left}"
                    + ".fast_burn,.spent{color:#a00}.slow_burn{color:#a60}.ok{color:#070}"
                    + "svg{background:#f6f6f6}";

    private BurnHtml() {}

    static String render(long epochMillis, List<BurnReport.Entry> entries) {
        StringBuilder html = new StringBuilder();
        html.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<title>Service-level burn</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>Service-level burn</h1><p>As of ")
                .append(Instant.ofEpochMilli(epochMillis))
                .append(". A burn rate of 1 uses up the error budget at the end of its window.</p>")
                .append("<table><tr><th>State</th><th>Service</th><th>Workspace</th>")
                .append("<th>5 min</th><th>1 h</th><th>6 h</th><th>3 d</th><th>Left</th>")
                .append("<th>Ends in</th><th>Burn, last hour</th><th>Burn, 3 days</th></tr>");
        for (BurnReport.Entry entry : entries) {
            appendRow(html, entry, epochMillis);
        }
        return html.append("</table></body></html>").toString();
    }

    private static void appendRow(StringBuilder html, BurnReport.Entry entry, long epochMillis) {
        BurnLine line = entry.line();
        String state = line.state().name().toLowerCase(Locale.ROOT);
        html.append("<tr><td class=\"").append(state).append("\">").append(state);
        html.append("</td><td>").append(escape(line.service()));
        html.append("</td><td>").append(escape(line.workspace()));
        appendNumber(html, line.burn5m());
        appendNumber(html, line.burn1h());
        appendNumber(html, line.burn6h());
        appendNumber(html, line.burn3d());
        html.append("</td><td>")
                .append(String.format(Locale.ROOT, "%.1f&nbsp;%%", 100 * line.budgetLeftRatio()))
                .append("</td><td>")
                .append(BurnReport.formatBudgetEnd(line.budgetEndsInMillis()))
                .append("</td><td>");
        appendPlot(html, entry, BurnSeries.Tier.MINUTES, HOUR_BUCKETS, epochMillis);
        html.append("</td><td>");
        appendPlot(html, entry, BurnSeries.Tier.HALF_HOURS, THREE_DAY_BUCKETS, epochMillis);
        html.append("</td></tr>");
    }

    private static void appendNumber(StringBuilder html, double value) {
        html.append("</td><td>").append(String.format(Locale.ROOT, "%.2f", value));
    }

    /** Appends an SVG plot of the burn rate per bucket with a reference line at 1. */
    private static void appendPlot(
            StringBuilder html,
            BurnReport.Entry entry,
            BurnSeries.Tier tier,
            int buckets,
            long epochMillis) {
        double[] ratios = entry.series().badRatios(tier, buckets, epochMillis);
        double allowedRatio = Math.max(1e-9, entry.allowedRatio());
        double maxBurn = 2;
        for (double ratio : ratios) {
            maxBurn = Math.max(maxBurn, ratio / allowedRatio);
        }
        html.append("<svg width=\"").append(PLOT_WIDTH).append("\" height=\"").append(PLOT_HEIGHT);
        html.append("\" role=\"img\"><title>highest burn ");
        html.append(String.format(Locale.ROOT, "%.1f", maxBurn));
        html.append("</title><polyline fill=\"none\" stroke=\"#06c\" points=\"");
        for (int i = 0; i < buckets; i++) {
            double x = (double) i * PLOT_WIDTH / Math.max(1, buckets - 1);
            double y = PLOT_HEIGHT - ratios[i] / allowedRatio / maxBurn * (PLOT_HEIGHT - 2) - 1;
            html.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, y));
        }
        double burnOneY = PLOT_HEIGHT - (PLOT_HEIGHT - 2) / maxBurn - 1;
        html.append("\"/><line x1=\"0\" x2=\"").append(PLOT_WIDTH);
        html.append(
                String.format(
                        Locale.ROOT,
                        "\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#a00\" stroke-dasharray=\"4\"/>",
                        burnOneY,
                        burnOneY));
        html.append("</svg>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
