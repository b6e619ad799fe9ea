package org.heathercourse.testing.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Measures how many calls within the rate of a workspace are refused while its traffic moves
 * between the VMs, compares this with fixed shares on the same arrivals, and checks that no
 * interval exceeds rate and burst.
 *
 * <p>The ledger and the share holders are the classes of the daemon; the network between them is
 * simulated under a manual clock. Progress goes to standard error; the last line of standard output
 * is one JSON object.
 */
public final class RateBench {
    /** Arrival rate of the second workspace relative to its rate limit. */
    private static final double OVERLOAD_FACTOR = 5;

    private RateBench() {}

    /**
     * Runs the bench.
     *
     * @param args {@code [--seed N] [--faults on|off] [--vms N] [--seconds N] [--rate X] [--burst
     *     X] [--load X] [--move-seconds X] [--moved-part X] [--deaths N] --json}
     * @throws JsonProcessingException if the result cannot be written as JSON
     */
    public static void main(String[] args) throws JsonProcessingException {
        OptionParser parser = new OptionParser();
        var seed = parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        parser.accepts("json");
        var faults = parser.accepts("faults").withRequiredArg().defaultsTo("off");
        var vms = parser.accepts("vms").withRequiredArg().ofType(Integer.class).defaultsTo(12);
        var seconds =
                parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(120);
        var rate = parser.accepts("rate").withRequiredArg().ofType(Double.class).defaultsTo(200.0);
        var burst =
                parser.accepts("burst").withRequiredArg().ofType(Double.class).defaultsTo(400.0);
        var load = parser.accepts("load").withRequiredArg().ofType(Double.class).defaultsTo(1.0);
        var moveSeconds =
                parser.accepts("move-seconds")
                        .withRequiredArg()
                        .ofType(Double.class)
                        .defaultsTo(2.0);
        var movedFraction =
                parser.accepts("moved-part").withRequiredArg().ofType(Double.class).defaultsTo(0.3);
        var grantorDeaths =
                parser.accepts("deaths").withRequiredArg().ofType(Integer.class).defaultsTo(2);
        OptionSet options = parser.parse(args);
        RateScenario scenario =
                new RateScenario(
                        options.valueOf(seed),
                        options.valueOf(vms),
                        options.valueOf(seconds),
                        options.valueOf(faults).equals("on"),
                        options.valueOf(rate),
                        options.valueOf(burst),
                        options.valueOf(load),
                        options.valueOf(moveSeconds),
                        options.valueOf(movedFraction),
                        options.valueOf(grantorDeaths));
        System.out.println(new ObjectMapper().writeValueAsString(measure(scenario)));
    }

    /**
     * Simulates a workspace at its rate and an overloaded one.
     *
     * @param scenario the settings
     * @return the figures by their names in the JSON result
     */
    public static Map<String, Object> measure(RateScenario scenario) {
        System.err.println("seed=" + scenario.seed() + " workspace=at-rate");
        RateRun.Result atRate = new RateRun(scenario, "at-rate", scenario.load()).run();
        System.err.println("seed=" + scenario.seed() + " workspace=overload");
        RateRun.Result overload = new RateRun(scenario, "overload", OVERLOAD_FACTOR).run();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("seed", scenario.seed());
        figures.put("faults", scenario.faults());
        figures.put("granted_over_ceiling", atRate.overCeiling() + overload.overCeiling());
        figures.put("refused_within_rate_pct", percent(atRate.refusedWithinRate(), atRate));
        figures.put(
                "naive_refused_within_rate_pct", percent(atRate.naiveRefusedWithinRate(), atRate));
        // The ledger and the shares are kept in memory; the simulation has no table service.
        figures.put("table_writes_per_second", 0);
        double messages = atRate.messages() + overload.messages();
        figures.put("messages_per_second", round(messages / scenario.seconds()));
        figures.put("arrivals", atRate.arrivals());
        figures.put(
                "ideal_refused_pct", percent(atRate.arrivals() - atRate.idealAdmitted(), atRate));
        figures.put("refused_pct", percent(atRate.arrivals() - atRate.admitted(), atRate));
        figures.put("waited_pct", percent(atRate.waited(), atRate));
        figures.put("worst_excess", round(Math.max(atRate.worstExcess(), overload.worstExcess())));
        figures.put(
                "overload_used_of_ideal_pct",
                round(100.0 * overload.admitted() / overload.idealAdmitted()));
        return figures;
    }

    private static double percent(long count, RateRun.Result result) {
        return round(100.0 * count / result.arrivals());
    }

    private static double round(double value) {
        return Math.round(value * 1000) / 1000.0;
    }
}
