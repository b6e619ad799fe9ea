package org.heathercourse.testing.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Iterator;
import java.util.Map;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.testing.deployment.DaemonProcess;
import org.heathercourse.testing.deployment.LocalDeployment;

/**
 * Counters of a deployment at one moment. Immutable.
 *
 * @param nanos when they were read
 * @param cpuNanos processor time of all daemons
 * @param peerBytes bytes on links between daemons, each counted once
 * @param tableBytes bytes between daemons and the table service
 * @param objectBytes bytes between daemons and the object store
 * @param tableReads reads that the table service has served
 * @param tableWrites transactions that the table service has been asked for
 */
record ControlSample(
        long nanos,
        long cpuNanos,
        long peerBytes,
        long tableBytes,
        long objectBytes,
        long tableReads,
        long tableWrites) {

    /** Reads the counters; the deployment must have been started with proxies. */
    static ControlSample read(LocalDeployment deployment, Ticker ticker) throws IOException {
        JsonNode stats = deployment.stats().read("/stats");
        JsonNode proxies = deployment.stats().read("/proxies");
        long cpuNanos = 0;
        for (DaemonProcess daemon : deployment.daemons()) {
            cpuNanos +=
                    ProcessHandle.of(daemon.process().pid())
                            .flatMap(handle -> handle.info().totalCpuDuration())
                            .map(Duration::toNanos)
                            .orElseThrow(
                                    () -> new IOException(daemon.endpoints().vm() + " has ended"));
        }
        return new ControlSample(
                ticker.readNanos(),
                cpuNanos,
                bytes(proxies, "peer-"),
                bytes(proxies, "table-"),
                bytes(proxies, "objects-"),
                stats.path("table_reads").asLong(),
                stats.path("table_writes").asLong());
    }

    private static long bytes(JsonNode proxies, String prefix) {
        long sum = 0;
        for (Iterator<Map.Entry<String, JsonNode>> it = proxies.fields(); it.hasNext(); ) {
            Map.Entry<String, JsonNode> proxy = it.next();
            if (proxy.getKey().startsWith(prefix)) {
                sum += proxy.getValue().path("bytes_to_target").asLong();
                sum += proxy.getValue().path("bytes_to_client").asLong();
            }
        }
        return sum;
    }

    /**
     * Writes the rates since an earlier sample.
     *
     * @param out where they go
     * @param prefix prefix of the names
     * @param before the earlier sample
     * @param daemons number of daemons
     */
    void addRates(ObjectNode out, String prefix, ControlSample before, int daemons) {
        double seconds = (nanos - before.nanos) / 1e9;
        double cpu = 100.0 * (cpuNanos - before.cpuNanos) / (nanos - before.nanos) / daemons;
        // A byte between two daemons costs both of them.
        double peers = 2.0 * (peerBytes - before.peerBytes) / seconds / daemons;
        double table = (tableBytes - before.tableBytes) / seconds / daemons;
        double objects = (objectBytes - before.objectBytes) / seconds / daemons;
        out.put(prefix + "cpu_pct_of_core", round(cpu));
        out.put(prefix + "bytes_per_second", Math.round(peers + table + objects));
        out.put(prefix + "peer_bytes_per_second", Math.round(peers));
        out.put(prefix + "table_bytes_per_second", Math.round(table));
        out.put(prefix + "object_bytes_per_second", Math.round(objects));
        out.put(
                prefix + "table_reads_per_second",
                round((tableReads - before.tableReads) / seconds));
        out.put(
                prefix + "table_writes_per_second",
                round((tableWrites - before.tableWrites) / seconds));
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }
}
