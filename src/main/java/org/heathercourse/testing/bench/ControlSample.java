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
 * Snapshot of the counters of a deployment. Immutable.
 *
 * @param timestampNanos time of the ticker at which the counters were read
 * @param cpuNanos total processor time of all daemons
 * @param peerBytes bytes on links between daemons, each counted once
 * @param tableBytes bytes between daemons and the table service
 * @param objectBytes bytes between daemons and the object store
 * @param tableReads reads served by the table service
 * @param tableWrites transactions requested from the table service
 */
record ControlSample(
        long timestampNanos,
        long cpuNanos,
        long peerBytes,
        long tableBytes,
        long objectBytes,
        long tableReads,
        long tableWrites) {

    /**
     * Reads the counters.
     *
     * @param deployment the deployment; must have been started with proxies
     * @param ticker clock for the time of the snapshot
     * @throws IOException if a counter cannot be read or a daemon has exited
     */
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
                                    () -> new IOException(daemon.endpoints().vm() + " has exited"));
        }
        return new ControlSample(
                ticker.readNanos(),
                cpuNanos,
                sumBytes(proxies, "peer-"),
                sumBytes(proxies, "table-"),
                sumBytes(proxies, "objects-"),
                stats.path("table_reads").asLong(),
                stats.path("table_writes").asLong());
    }

    private static long sumBytes(JsonNode proxies, String prefix) {
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
     * Adds the rates since an earlier sample to a JSON object.
     *
     * @param out the JSON object
     * @param prefix prefix of the field names
     * @param earlier the earlier sample
     * @param daemons number of daemons
     */
    void addRates(ObjectNode out, String prefix, ControlSample earlier, int daemons) {
        double seconds = (timestampNanos - earlier.timestampNanos) / 1e9;
        double cpu =
                100.0
                        * (cpuNanos - earlier.cpuNanos)
                        / (timestampNanos - earlier.timestampNanos)
                        / daemons;
        // Each byte between two daemons is traffic of both.
        double peers = 2.0 * (peerBytes - earlier.peerBytes) / seconds / daemons;
        double table = (tableBytes - earlier.tableBytes) / seconds / daemons;
        double objects = (objectBytes - earlier.objectBytes) / seconds / daemons;
        out.put(prefix + "cpu_pct_of_core", round(cpu));
        out.put(prefix + "bytes_per_second", Math.round(peers + table + objects));
        out.put(prefix + "peer_bytes_per_second", Math.round(peers));
        out.put(prefix + "table_bytes_per_second", Math.round(table));
        out.put(prefix + "object_bytes_per_second", Math.round(objects));
        out.put(
                prefix + "table_reads_per_second",
                round((tableReads - earlier.tableReads) / seconds));
        out.put(
                prefix + "table_writes_per_second",
                round((tableWrites - earlier.tableWrites) / seconds));
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }
}
