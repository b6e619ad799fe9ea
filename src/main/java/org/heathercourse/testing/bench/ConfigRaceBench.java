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
 * Runs two operators that submit conflicting configuration changes through different daemons, while
 * the table service loses replies of writes and is sometimes slow.
 *
 * <p>The checks use only what operators see: every daemon must report the same sequence of
 * revisions, which contains each accepted change exactly once, each based on the revision before
 * it, and each accepted revision must be in force at every daemon within 5 s.
 */
public final class ConfigRaceBench {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OPERATORS = 2;
    private static final long MAX_IN_FORCE_DELAY_MILLIS = 5_000;
    private static final long POLL_MILLIS = 25;

    private final LocalDeployment mDeployment;
    private final long mSeed;
    private final int mChanges;
    private final Ticker mTicker = Ticker.system();
    private final RacingOperator.Results mResults = new RacingOperator.Results();
    private volatile boolean mFaultsStopped;
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
                parser.accepts("changes", "number of changes to get accepted")
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
        long start = readRevision(mDeployment.operator());
        ExecutorService threads = Executors.newFixedThreadPool(OPERATORS + 1);
        List<OperatorConnection> connections = new ArrayList<>();
        try (ConfigRevisionMonitor monitor =
                new ConfigRevisionMonitor(
                        mDeployment, mDeployment.daemons(), mTicker, POLL_MILLIS)) {
            Future<?> faults = threads.submit(this::injectFaults);
            List<Future<Void>> operators = new ArrayList<>();
            for (int i = 0; i < OPERATORS; i++) {
                List<OperatorConnection> operatorConnections = connect(i);
                connections.addAll(operatorConnections);
                operators.add(
                        threads.submit(
                                new RacingOperator(
                                        i,
                                        mChanges / OPERATORS,
                                        operatorConnections,
                                        mSeed * 31 + i,
                                        mTicker,
                                        mResults)));
            }
            for (Future<Void> operator : operators) {
                operator.get();
            }
            mFaultsStopped = true;
            faults.get();
            mDeployment.stats().clearFaults();
            long last = mResults.mAcceptedNanos.keySet().stream().mapToLong(r -> r).max().orElse(0);
            monitor.await(last, 2 * MAX_IN_FORCE_DELAY_MILLIS);
            return evaluate(start, monitor);
        } finally {
            threads.shutdownNow();
            connections.forEach(OperatorConnection::close);
        }
    }

    /** Opens a connection to each daemon; the first daemon differs between operators. */
    private List<OperatorConnection> connect(int operator) {
        List<OperatorConnection> connections = new ArrayList<>();
        for (DaemonProcess daemon : mDeployment.daemons()) {
            connections.add(mDeployment.operatorAt(daemon));
        }
        Collections.rotate(connections, -operator * connections.size() / OPERATORS);
        return connections;
    }

    private Void injectFaults() throws IOException {
        SplittableRandom random = new SplittableRandom(mSeed);
        while (!mFaultsStopped) {
            int lost = 1 + random.nextInt(4);
            mLostReplies += lost;
            injectFault("lose_reply", 1, lost);
            if (random.nextInt(4) == 0) {
                injectFault("delay_ms", 50 + random.nextInt(250), 5 + random.nextInt(30));
            }
            Pauses.pause(100 + random.nextInt(700));
        }
        return null;
    }

    private void injectFault(String fault, int value, int count) throws IOException {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("part", "table").put("fault", fault).put("value", value).put("count", count);
        mDeployment.stats().post("/faults", MAPPER.writeValueAsString(body));
    }

    // Checks

    private ObjectNode evaluate(long start, ConfigRevisionMonitor monitor) {
        int violations = monitor.revisionDecreases();
        Map<Long, Configuration> revisions = null;
        for (DaemonProcess daemon : mDeployment.daemons()) {
            try (OperatorConnection operator = mDeployment.operatorAt(daemon)) {
                Map<Long, Configuration> daemonRevisions = readRevisions(operator, start);
                if (revisions != null && !revisions.equals(daemonRevisions)) {
                    violations +=
                            reportViolation(
                                    "daemon reports a different sequence of revisions vm="
                                            + daemon.endpoints().vm());
                }
                revisions = daemonRevisions;
            }
        }
        violations += checkRevisions(start, revisions);
        int late = 0;
        for (Map.Entry<Long, Long> accepted : mResults.mAcceptedNanos.entrySet()) {
            long millis = monitor.inForceMillis(accepted.getKey(), accepted.getValue());
            if (millis > MAX_IN_FORCE_DELAY_MILLIS) {
                late +=
                        reportViolation(
                                "revision not in force in time revision="
                                        + accepted.getKey()
                                        + " ms="
                                        + millis);
            }
        }
        ObjectNode out = MAPPER.createObjectNode();
        out.put("seed", mSeed);
        out.put("accepted", mResults.mRevisionByMarker.size());
        out.put("conflicts", mResults.mConflicts.get());
        out.put("reverted", violations);
        out.put("not_in_force", late);
        out.put("in_force_p99_ms", monitor.percentileMillis(mResults.mAcceptedNanos, 99));
        out.put("repeats", mResults.mRetries.get());
        out.put("lost_replies_injected", mLostReplies);
        out.put("errors", mResults.mErrors.get());
        return out;
    }

    private static long readRevision(OperatorConnection operator) {
        GetConfigurationRequest request = GetConfigurationRequest.getDefaultInstance();
        return operator.call(stub -> stub.getConfiguration(request)).getRevision();
    }

    private static Map<Long, Configuration> readRevisions(OperatorConnection operator, long start) {
        Map<Long, Configuration> revisions = new TreeMap<>();
        ListRevisionsRequest list =
                ListRevisionsRequest.newBuilder().setLimit(Integer.MAX_VALUE).build();
        for (long revision : operator.call(s -> s.listRevisions(list)).getRevisionsList()) {
            if (revision >= start) {
                GetConfigurationRequest get =
                        GetConfigurationRequest.newBuilder().setRevision(revision).build();
                revisions.put(
                        revision, operator.call(s -> s.getConfiguration(get)).getConfiguration());
            }
        }
        return revisions;
    }

    /**
     * Checks that each revision is the previous one with exactly one accepted change; returns the
     * number of violations.
     */
    private int checkRevisions(long start, Map<Long, Configuration> revisions) {
        int violations = 0;
        if (revisions.size() != mResults.mRevisionByMarker.size() + 1) {
            violations +=
                    reportViolation(
                            "number of new revisions differs from accepted changes revisions="
                                    + (revisions.size() - 1)
                                    + " accepted="
                                    + mResults.mRevisionByMarker.size());
        }
        for (Map.Entry<Long, Long> accepted : mResults.mRevisionByMarker.entrySet()) {
            Configuration configuration = revisions.get(accepted.getValue());
            if (configuration == null || readMarker(configuration) != accepted.getKey()) {
                violations +=
                        reportViolation(
                                "accepted change is missing revision=" + accepted.getValue());
            }
        }
        for (Map.Entry<Long, Configuration> revision : revisions.entrySet()) {
            if (revision.getKey() == start) {
                continue;
            }
            Configuration before = revisions.get(revision.getKey() - 1);
            long marker = readMarker(revision.getValue());
            Integer operator = mResults.mOperatorByMarker.get(marker);
            if (before == null
                    || operator == null
                    || !revision.getValue().equals(applyChange(before, marker, operator))) {
                violations +=
                        reportViolation(
                                "revision is not its predecessor with one change revision="
                                        + revision.getKey());
            }
            if (!mResults.mRevisionByMarker.containsKey(marker)) {
                violations +=
                        reportViolation(
                                "change that was not accepted has a revision revision="
                                        + revision.getKey());
            }
        }
        return violations;
    }

    private static long readMarker(Configuration configuration) {
        return (long) configuration.getWorkspaces(0).getRatePerSecond();
    }

    private static Configuration applyChange(Configuration before, long marker, int operator) {
        Configuration.Builder next = before.toBuilder();
        next.getWorkspacesBuilder(0).setRatePerSecond(marker);
        double ownRate = before.getWorkspaces(1 + operator).getRatePerSecond();
        next.getWorkspacesBuilder(1 + operator).setRatePerSecond(ownRate + 1);
        return next.build();
    }

    private static int reportViolation(String description) {
        System.err.println("violation: " + description);
        return 1;
    }
}
