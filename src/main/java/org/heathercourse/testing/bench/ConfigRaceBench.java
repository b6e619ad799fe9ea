package org.heathercourse.testing.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.ops.ctl.OperatorConnection;
import org.heathercourse.ops.v1.Configuration;
import org.heathercourse.ops.v1.GetConfigurationRequest;
import org.heathercourse.ops.v1.ListRevisionsRequest;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.deployment.LocalDeployment;
import org.heathercourse.testing.load.Pauses;

/**
 * Lets two operators race with conflicting changes through different daemons, while the table
 * service loses replies of writes and is slow now and then.
 *
 * <p>Judged from outside: the revisions and configurations read back through every daemon must be
 * one order that contains each accepted change exactly once, each made on the one before it, and
 * each accepted revision must be in force at every daemon within 5 s.
 */
public final class ConfigRaceBench {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OPERATORS = 2;
    private static final long IN_FORCE_BOUND_MILLIS = 5_000;
    private static final long POLL_MILLIS = 25;

    private final LocalDeployment mDeployment;
    private final long mSeed;
    private final int mChanges;
    private final Ticker mTicker = Ticker.system();
    private final RacingOperator.Results mResults = new RacingOperator.Results();
    private volatile boolean mStopFaults;
    private int mLostReplies;

    private ConfigRaceBench(LocalDeployment deployment, long seed, int changes) {
        mDeployment = deployment;
        mSeed = seed;
        mChanges = changes;
    }

    /**
     * Runs the bench.
     *
     * @param arguments flags; see {@code --help}
     * @throws Exception if the deployment cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        var seed = parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        var changes =
                parser.accepts("changes", "changes that are to be accepted")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(200);
        var daemons =
                parser.accepts("daemons").withRequiredArg().ofType(Integer.class).defaultsTo(4);
        parser.accepts("json", "print the result as JSON (always done)");
        parser.accepts("help").forHelp();
        OptionSet options = parser.parse(arguments);
        if (options.has("help")) {
            parser.printHelpOn(System.out);
            return;
        }
        System.err.println("seed=" + options.valueOf(seed));
        try (LocalDeployment deployment =
                LocalDeployment.builder()
                        .daemons(options.valueOf(daemons))
                        .engines(1)
                        .plain(1)
                        .build()
                        .start()) {
            ConfigRaceBench bench =
                    new ConfigRaceBench(
                            deployment, options.valueOf(seed), options.valueOf(changes));
            System.out.println(MAPPER.writeValueAsString(bench.run()));
        }
        System.exit(0);
    }

    private ObjectNode run() throws Exception {
        long start = present(mDeployment.operator());
        ExecutorService threads = Executors.newFixedThreadPool(OPERATORS + 1);
        List<OperatorConnection> connections = new ArrayList<>();
        try (InForceWatch watch =
                new InForceWatch(mDeployment, mDeployment.daemons(), mTicker, POLL_MILLIS)) {
            Future<?> faults = threads.submit(this::switchFaults);
            List<Future<Void>> operators = new ArrayList<>();
            for (int i = 0; i < OPERATORS; i++) {
                List<OperatorConnection> own = connect(i);
                connections.addAll(own);
                operators.add(
                        threads.submit(
                                new RacingOperator(
                                        i,
                                        mChanges / OPERATORS,
                                        own,
                                        mSeed * 31 + i,
                                        mTicker,
                                        mResults)));
            }
            for (Future<Void> operator : operators) {
                operator.get();
            }
            mStopFaults = true;
            faults.get();
            mDeployment.stats().clearFaults();
            long last = mResults.mAcceptedNanos.keySet().stream().mapToLong(r -> r).max().orElse(0);
            watch.await(last, 2 * IN_FORCE_BOUND_MILLIS);
            return judge(start, watch);
        } finally {
            threads.shutdownNow();
            connections.forEach(OperatorConnection::close);
        }
    }

    /** Returns connections to one daemon each; operators begin with different daemons. */
    private List<OperatorConnection> connect(int operator) {
        List<OperatorConnection> connections = new ArrayList<>();
        for (DaemonProcess daemon : mDeployment.daemons()) {
            connections.add(mDeployment.operatorAt(daemon));
        }
        Collections.rotate(connections, -operator * connections.size() / OPERATORS);
        return connections;
    }

    private Void switchFaults() throws IOException {
        SplittableRandom random = new SplittableRandom(mSeed);
        while (!mStopFaults) {
            int lost = 1 + random.nextInt(4);
            mLostReplies += lost;
            fault("lose_reply", 1, lost);
            if (random.nextInt(4) == 0) {
                fault("delay_ms", 50 + random.nextInt(250), 5 + random.nextInt(30));
            }
            Pauses.pause(100 + random.nextInt(700));
        }
        return null;
    }

    private void fault(String fault, int value, int count) throws IOException {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("part", "table").put("fault", fault).put("value", value).put("count", count);
        mDeployment.stats().post("/faults", MAPPER.writeValueAsString(body));
    }

    // ---- judging ----

    private ObjectNode judge(long start, InForceWatch watch) {
        int faults = watch.decreases();
        Map<Long, Configuration> order = null;
        for (DaemonProcess daemon : mDeployment.daemons()) {
            try (OperatorConnection operator = mDeployment.operatorAt(daemon)) {
                Map<Long, Configuration> seen = readBack(operator, start);
                if (order != null && !order.equals(seen)) {
                    faults += report("daemon shows another order vm=" + daemon.endpoints().vm());
                }
                order = seen;
            }
        }
        faults += checkOrder(start, order);
        int late = 0;
        for (Map.Entry<Long, Long> accepted : mResults.mAcceptedNanos.entrySet()) {
            long millis = watch.inForceMillis(accepted.getKey(), accepted.getValue());
            if (millis > IN_FORCE_BOUND_MILLIS) {
                late += report("not in force revision=" + accepted.getKey() + " ms=" + millis);
            }
        }
        ObjectNode out = MAPPER.createObjectNode();
        out.put("seed", mSeed);
        out.put("accepted", mResults.mRevisionByMarker.size());
        out.put("conflicts", mResults.mConflicts.get());
        out.put("reverted", faults);
        out.put("not_in_force", late);
        out.put("in_force_p99_ms", watch.percentileMillis(mResults.mAcceptedNanos, 99));
        out.put("repeats", mResults.mRepeats.get());
        out.put("lost_replies_injected", mLostReplies);
        out.put("errors", mResults.mErrors.get());
        return out;
    }

    private static long present(OperatorConnection operator) {
        GetConfigurationRequest request = GetConfigurationRequest.getDefaultInstance();
        return operator.call(stub -> stub.getConfiguration(request)).getRevision();
    }

    private static Map<Long, Configuration> readBack(OperatorConnection operator, long start) {
        Map<Long, Configuration> seen = new TreeMap<>();
        ListRevisionsRequest list =
                ListRevisionsRequest.newBuilder().setLimit(Integer.MAX_VALUE).build();
        for (long revision : operator.call(s -> s.listRevisions(list)).getRevisionsList()) {
            if (revision >= start) {
                GetConfigurationRequest get =
                        GetConfigurationRequest.newBuilder().setRevision(revision).build();
                seen.put(revision, operator.call(s -> s.getConfiguration(get)).getConfiguration());
            }
        }
        return seen;
    }

    /** Each revision must be the one before it with exactly one change that was accepted as it. */
    private int checkOrder(long start, Map<Long, Configuration> order) {
        int faults = 0;
        if (order.size() != mResults.mRevisionByMarker.size() + 1) {
            faults +=
                    report(
                            "revisions="
                                    + (order.size() - 1)
                                    + " accepted="
                                    + mResults.mRevisionByMarker.size());
        }
        for (Map.Entry<Long, Long> accepted : mResults.mRevisionByMarker.entrySet()) {
            Configuration present = order.get(accepted.getValue());
            if (present == null || marker(present) != accepted.getKey()) {
                faults += report("change is missing revision=" + accepted.getValue());
            }
        }
        for (Map.Entry<Long, Configuration> revision : order.entrySet()) {
            if (revision.getKey() == start) {
                continue;
            }
            Configuration before = order.get(revision.getKey() - 1);
            long marker = marker(revision.getValue());
            Integer operator = mResults.mOperatorByMarker.get(marker);
            if (before == null
                    || operator == null
                    || !revision.getValue().equals(expected(before, marker, operator))) {
                faults += report("revision is not the next one revision=" + revision.getKey());
            }
            if (!mResults.mRevisionByMarker.containsKey(marker)) {
                faults += report("refused change has a revision=" + revision.getKey());
            }
        }
        return faults;
    }

    private static long marker(Configuration configuration) {
        return (long) configuration.getWorkspaces(0).getRatePerSecond();
    }

    private static Configuration expected(Configuration before, long marker, int operator) {
        Configuration.Builder next = before.toBuilder();
        next.getWorkspacesBuilder(0).setRatePerSecond(marker);
        double own = before.getWorkspaces(1 + operator).getRatePerSecond();
        next.getWorkspacesBuilder(1 + operator).setRatePerSecond(own + 1);
        return next.build();
    }

    private static int report(String fault) {
        System.err.println("fault: " + fault);
        return 1;
    }
}
