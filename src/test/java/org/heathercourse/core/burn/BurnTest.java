package org.heathercourse.core.burn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.heathercourse.core.config.ObjectiveSpec;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.WorkspaceId;
import org.junit.jupiter.api.Test;

/** Tests the counters and reports of the error budget burn. */
class BurnTest {
    private static final long SEED = 19L;
    private static final long START = 1_780_000_000_000L;
    private static final long MINUTE = 60_000L;
    private static final ServiceId SERVICE = new ServiceId("s");

    private record Call(long epochMillis, boolean good) {}

    /** Guards against merged counters that differ from a direct count of all calls. */
    @Test
    void mergedCountersEqualCountOfAllCalls() {
        System.out.println("seed=" + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        BurnSeries[] daemons = {new BurnSeries(), new BurnSeries(), new BurnSeries()};
        List<Call> calls = new ArrayList<>();
        long now = START;
        for (int i = 0; i < 20_000; i++) {
            now += random.nextInt(40) == 0 ? random.nextInt(7_200_000) : random.nextInt(5_000);
            long at = now - random.nextInt(30_000);
            Call call = new Call(at, random.nextInt(20) > 0);
            daemons[random.nextInt(daemons.length)].record(call.good(), call.epochMillis());
            calls.add(call);
        }
        BurnSeries merged = daemons[2].plus(daemons[0]).plus(daemons[1]);
        long[][] windows = {
            {5 * MINUTE, MINUTE},
            {60 * MINUTE, MINUTE},
            {360 * MINUTE, 30 * MINUTE},
            {72 * 60 * MINUTE, 30 * MINUTE},
            {30 * 24 * 60 * MINUTE, 720 * MINUTE}
        };
        for (long[] window : windows) {
            long last = Math.floorDiv(now, window[1]);
            long first = last - window[0] / window[1] + 1;
            long good = 0;
            long bad = 0;
            for (Call call : calls) {
                long bucket = Math.floorDiv(call.epochMillis(), window[1]);
                if (bucket >= first && bucket <= last) {
                    good += call.good() ? 1 : 0;
                    bad += call.good() ? 0 : 1;
                }
            }
            assertThat(merged.sum(window[0], now))
                    .as("window " + window[0])
                    .isEqualTo(new BurnSeries.Sum(good, bad));
        }
    }

    /**
     * Guards against wrong budgets, a wrong order of the objectives and external resources in the
     * HTML page.
     */
    @Test
    void reportsWorstObjectiveFirst() {
        WorkspaceId calm = new WorkspaceId("calm");
        WorkspaceId burning = new WorkspaceId("burning");
        List<ObjectiveSpec> objectives =
                List.of(
                        new ObjectiveSpec(SERVICE, calm, 100, 0.99, 30),
                        new ObjectiveSpec(SERVICE, burning, 100, 0.99, 30),
                        new ObjectiveSpec(SERVICE, null, 1_000, 0.9, 30));
        BurnCounters counters = new BurnCounters();
        counters.setObjectives(objectives);
        for (int i = 0; i < 1_000; i++) {
            long at = START + i * 1_000L;
            counters.record(SERVICE, calm, i % 150 == 0 ? 500 : 50, true, at);
            counters.record(SERVICE, burning, 50, i % 4 != 0, at);
        }
        BurnSnapshot sent = BurnSnapshot.ofBuckets(counters.snapshot().buckets());
        BurnReport report = BurnReport.of(sent, objectives, START + 1_000_000L);
        List<BurnLine> lines = report.lines();
        assertThat(lines).extracting(BurnLine::workspace).startsWith("burning");
        assertThat(lines.get(0).state()).isEqualTo(BurnLine.State.FAST_BURN);
        assertThat(lines.get(0).burn1h()).isCloseTo(25, within(1e-9));
        assertThat(lines.get(0).budgetLeftRatio()).isCloseTo(-24, within(1e-9));
        assertThat(lines.get(0).budgetEndsInMillis()).isZero();
        BurnLine calmLine = lines.get(lines.size() - 1);
        assertThat(calmLine.workspace()).isEqualTo("calm");
        assertThat(calmLine.budgetLeftRatio()).isCloseTo(0.3, within(1e-9));
        long window = 30L * 24 * 60 * MINUTE;
        assertThat(calmLine.budgetEndsInMillis()).isCloseTo(window * 3 / 7, within(1L));
        assertThat(report.toText().lines()).hasSize(4);
        assertThat(report.toJson()).contains("\"burn_1h\":25.0");
        String html = report.toHtml();
        assertThat(html).contains("<svg").doesNotContain("http://", "https://", "<script");
    }

    /**
     * Guards against memory use that grows without bound with the objectives, or keeps the counters
     * of removed ones.
     */
    @Test
    void boundsNumberOfObjectives() {
        BurnCounters counters = new BurnCounters();
        List<ObjectiveSpec> many = new ArrayList<>();
        for (int i = 0; i < BurnCounters.MAX_OBJECTIVES + 100; i++) {
            many.add(new ObjectiveSpec(SERVICE, new WorkspaceId("w" + i), 100, 0.9, 30));
        }
        counters.setObjectives(many);
        for (ObjectiveSpec objective : many) {
            counters.record(SERVICE, objective.workspace(), 1, true, START);
        }
        assertThat(counters.snapshot().keys()).hasSize(BurnCounters.MAX_OBJECTIVES);
        counters.setObjectives(List.of());
        assertThat(counters.snapshot().keys()).isEmpty();
    }
}
