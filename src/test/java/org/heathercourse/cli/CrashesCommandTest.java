package org.heathercourse.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.heathercourse.platform.rows.RowKey;
import org.heathercourse.platform.rows.RowTransaction;
import org.heathercourse.testing.hosted.HostedDeployment;
import org.heathercourse.testing.hosted.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an operator who cannot see or end a quarantine, or is not told why. */
class CrashesCommandTest {
    private static final RowKey ROW = new RowKey("member", "", "crashes");

    /** The read period of 1.5 s, and time for the reads on a busy machine. */
    private static final Duration MAX_GATEWAY_DELAY = Duration.ofSeconds(3);

    private final HostedDeployment mDeployment = new HostedDeployment();
    private final StoreStandIn mStore = mDeployment.store();
    private final Map<String, String> mEnvironment = new HashMap<>();
    private final long mNowMillis = System.currentTimeMillis();
    private String mOut;
    private String mErr;

    CrashesCommandTest() {
        mEnvironment.put("HEATHERCOURSE_STORE_ADDRESS", "127.0.0.1:" + mStore.port());
        mEnvironment.put("HEATHERCOURSE_PLATFORM", "hosted");
        write(entry("killer", "a", "b", "c", "d"), entry("sound", "a", "b", "c"));
    }

    @AfterEach
    void stop() {
        mDeployment.close();
    }

    /** Returns an entry whose targets ended one after the other, the last one now. */
    private String entry(String digest, String... targets) {
        List<String> crashes = new ArrayList<>();
        for (int i = 0; i < targets.length; i++) {
            long endedMillis = mNowMillis - 1_000L * (targets.length - 1 - i);
            crashes.add(
                    String.format(
                            "{\"target\":\"%s\",\"observer\":\"g\","
                                    + "\"startedMillis\":%d,\"endedMillis\":%d}",
                            targets[i], endedMillis - 500, endedMillis));
        }
        return String.format(
                "{\"digest\":\"%s\",\"crashes\":[%s]}", digest, String.join(",", crashes));
    }

    private void write(String... entries) {
        String table = "{\"entries\":[" + String.join(",", entries) + "]}";
        byte[] value = table.getBytes(StandardCharsets.UTF_8);
        mStore.rows().commit(RowTransaction.put(ROW, RowTransaction.ANY_VERSION, value));
    }

    private int run(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        CrashesCommand command = new CrashesCommand(Clock.systemUTC(), new SplittableRandom(1));
        int code = command.run(arguments, mEnvironment, new PrintStream(out), new PrintStream(err));
        mOut = out.toString(StandardCharsets.UTF_8);
        mErr = err.toString(StandardCharsets.UTF_8);
        return code;
    }

    /** Guards against a clear that gateways do not notice. */
    @Test
    void runningGatewayReleasesClearedRequest() {
        List<String> events = new CopyOnWriteArrayList<>();
        Logger logger = Logger.getLogger("org.heathercourse.gateway.control.CrashRecordService");
        logger.setLevel(Level.INFO);
        logger.setFilter(event -> events.add(event.getMessage()));
        mDeployment.addGateway("vm-1");
        await().until(() -> events.contains("event=request_quarantined digest=killer crashes=4"));
        assertThat(run("clear", "killer")).isZero();
        await().atMost(MAX_GATEWAY_DELAY)
                .until(() -> events.contains("event=request_quarantine_ended digest=killer"));
        logger.setFilter(null);
        logger.setLevel(null);
    }

    /**
     * Guards against a list without the end of a quarantine, or with that of a released request.
     */
    @Test
    void listsEntries() {
        String last = Instant.ofEpochMilli(mNowMillis).toString();
        String end = Instant.ofEpochMilli(mNowMillis + 600_000).toString();
        assertThat(run("list")).isZero();
        assertThat(mOut.lines())
                .containsExactly(
                        "digest=killer crashes=4 independent_crashes=4 engines=a,b,c,d last_crash="
                                + (last + " quarantined=true quarantine_end=" + end),
                        "digest=sound crashes=3 independent_crashes=3 engines=a,b,c last_crash="
                                + (last + " quarantined=false quarantine_end=-"));
        assertThat(run("list", "--json")).isZero();
        assertThat(mOut).contains("\"quarantine_end\":\"" + end + "\"", "\"quarantine_end\":null");
    }

    /**
     * Guards against a silent quarantine of the request whose crashes the cleared one explained.
     */
    @Test
    void clearsOneRequestAndNamesTheNextSuspect() {
        assertThat(run("clear", "killer")).isZero();
        assertThat(mOut).contains("cleared digest=killer", "newly quarantined digest=sound");
        assertThat(run("clear", "killer")).isEqualTo(CrashesCommand.INVALID);
        assertThat(mErr).contains("\"killer\"", "heathercourse crashes list");
        assertThat(run("list")).isZero();
        assertThat(mOut).startsWith("digest=sound").contains("quarantined=true");
    }

    /** Guards against errors that exit with 0, or that do not say what to correct. */
    @Test
    void reportsWrongArgumentsStoreAndPlatform() {
        assertThat(run("clear", "killer", "--all")).isEqualTo(CrashesCommand.USAGE);
        assertThat(run("clear")).isEqualTo(CrashesCommand.USAGE);
        for (StoreStandIn.Mode mode : StoreStandIn.Mode.values()) {
            mStore.setMode(mode);
            boolean serves = mode == StoreStandIn.Mode.SERVES;
            assertThat(run("list")).isEqualTo(serves ? 0 : CrashesCommand.UNAVAILABLE);
            assertThat(mErr.contains("--store-address")).as("%s", mode).isEqualTo(!serves);
        }
        assertThat(run("list", "--platform", "none")).isEqualTo(CrashesCommand.USAGE);
        assertThat(mErr).contains("\"none\"", "hosted");
    }
}
