package org.heathercourse.testing.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.model.RequestClass;

/** Collects the statistics of a {@link PolicyRun}. Not safe for use by several threads. */
final class RunStats {
    private final List<Sample> mSamples = new ArrayList<>();
    private long mCallsWithinRate;
    private long mRefusedWithinRate;
    private long mRateLimitedCalls;
    private long mFailedCalls;
    private long mMigrations;
    private long mMigratedTokens;
    private long mWastedTokens;
    private long mComputedTokens;

    /**
     * Latency of one program of the run.
     *
     * @param workspace index of the workspace
     * @param kind name of the kind of program
     * @param requestClass class of its calls
     * @param latencyMillis latency of the program; if unfinished, its age at the end of the run
     * @param idleLatencyMillis latency of the program on an otherwise idle system
     * @param finished whether the program finished
     */
    record Sample(
            int workspace,
            String kind,
            RequestClass requestClass,
            double latencyMillis,
            double idleLatencyMillis,
            boolean finished) {
        double slowdown() {
            return latencyMillis / idleLatencyMillis;
        }
    }

    void onProgram(Sample sample) {
        mSamples.add(sample);
    }

    void onCall(boolean withinRate) {
        mCallsWithinRate += withinRate ? 1 : 0;
    }

    void onRefused(boolean withinRate) {
        mRefusedWithinRate += withinRate ? 1 : 0;
    }

    void onRateLimited() {
        mRateLimitedCalls++;
    }

    void onFailed() {
        mFailedCalls++;
    }

    void onMigration(long tokens) {
        mMigrations++;
        mMigratedTokens += tokens;
    }

    void onComputed(long tokens, long wastedTokens) {
        mComputedTokens += tokens;
        mWastedTokens += wastedTokens;
    }

    /**
     * Returns the mean slowdown of the programs of each workspace; 1 for a workspace without any.
     */
    double[] workspaceSlowdowns() {
        double[] sums = new double[Scenario.PROGRAM_SHARES.length];
        int[] counts = new int[sums.length];
        for (Sample sample : mSamples) {
            sums[sample.workspace()] += sample.slowdown();
            counts[sample.workspace()]++;
        }
        for (int i = 0; i < sums.length; i++) {
            sums[i] = counts[i] == 0 ? 1 : sums[i] / counts[i];
        }
        return sums;
    }

    /** Returns the statistics in the order of the JSON object. */
    Map<String, Object> toJson(double engineBusyRatio) {
        Map<String, Object> json = new LinkedHashMap<>();
        double[] all = latencies(mSamples);
        double[] urgent =
                latencies(
                        mSamples.stream()
                                .filter(s -> s.requestClass() == RequestClass.URGENT)
                                .toList());
        double[] slowdowns = workspaceSlowdowns();
        double[] sorted = slowdowns.clone();
        Arrays.sort(sorted);
        json.put("programs", mSamples.size());
        json.put("program_p50_ms", Math.round(quantile(all, 0.5)));
        json.put("program_p95_ms", Math.round(quantile(all, 0.95)));
        json.put("program_p99_ms", Math.round(quantile(all, 0.99)));
        json.put("urgent_p99_ms", Math.round(quantile(urgent, 0.99)));
        json.put("worst_workspace_slowdown", round(sorted[sorted.length - 1]));
        json.put("median_workspace_slowdown", round(median(sorted)));
        json.put("wasted_cache_tokens", mWastedTokens);
        json.put(
                "refused_within_rate_pct",
                round(100.0 * mRefusedWithinRate / Math.max(1, mCallsWithinRate)));
        json.put("unfinished", mSamples.stream().filter(s -> !s.finished()).count());
        json.put("computed_prompt_tokens", mComputedTokens);
        json.put("rate_limited_calls", mRateLimitedCalls);
        json.put("failed_calls", mFailedCalls);
        json.put("migrations", mMigrations);
        json.put("migrated_tokens", mMigratedTokens);
        json.put("engine_busy_ratio", round(engineBusyRatio));
        json.put("slowdown_by_kind", slowdownByKind());
        return json;
    }

    private Map<String, Object> slowdownByKind() {
        Map<String, List<Sample>> kinds = new LinkedHashMap<>();
        mSamples.forEach(s -> kinds.computeIfAbsent(s.kind(), k -> new ArrayList<>()).add(s));
        Map<String, Object> json = new LinkedHashMap<>();
        kinds.forEach(
                (kind, samples) ->
                        json.put(
                                kind,
                                round(
                                        samples.stream()
                                                .mapToDouble(Sample::slowdown)
                                                .average()
                                                .orElse(1))));
        return json;
    }

    /** Returns the 99th percentile of the idle latencies of urgent programs. */
    double idleUrgentP99Millis() {
        double[] idleLatencies =
                mSamples.stream()
                        .filter(s -> s.requestClass() == RequestClass.URGENT)
                        .mapToDouble(Sample::idleLatencyMillis)
                        .sorted()
                        .toArray();
        return quantile(idleLatencies, 0.99);
    }

    private static double[] latencies(List<Sample> samples) {
        return samples.stream().mapToDouble(Sample::latencyMillis).sorted().toArray();
    }

    private static double quantile(double[] sorted, double rank) {
        return sorted.length == 0
                ? 0
                : sorted[(int) Math.min(sorted.length - 1, Math.ceil(rank * sorted.length) - 1)];
    }

    private static double median(double[] sorted) {
        int n = sorted.length;
        return n % 2 == 1 ? sorted[n / 2] : (sorted[n / 2 - 1] + sorted[n / 2]) / 2;
    }

    static double round(double value) {
        return Math.round(value * 1000) / 1000.0;
    }
}
