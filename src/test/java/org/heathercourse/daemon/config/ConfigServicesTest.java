package org.heathercourse.daemon.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.KeySpec;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.config.ZoneSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.peer.PeerMessage.ConfigPush;
import org.heathercourse.daemon.peer.PeerMessage.StatusReply;
import org.heathercourse.testing.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against accepted configuration changes that are lost, reverted or applied by one daemon
 * only.
 */
class ConfigServicesTest {
    private final ConfigCodec mCodec = new ConfigCodec();
    private final FakeFleet mFleet = new FakeFleet();
    private final FakeFleet.Store mStore = new FakeFleet.Store();
    private final ManualTicker mTicker = new ManualTicker();
    private final ScheduledExecutorService mPollExecutor =
            Executors.newSingleThreadScheduledExecutor();
    private final List<ConfigWatcher> mWatchers = new ArrayList<>();
    private final List<ConfigStore> mStores = new ArrayList<>();

    @BeforeEach
    void startDaemons() {
        Random random = new Random(3);
        for (String vm : List.of("a", "b", "c")) {
            mFleet.add(vm);
        }
        for (DaemonInfo daemon : mFleet.daemons) {
            ConfigTable rows = new ConfigTable(mStore, mStore, mCodec);
            ConfigWatcher watcher =
                    new ConfigWatcher(
                            new ConfigWatcher.Parts(
                                    rows,
                                    mCodec,
                                    mFleet.directory(daemon),
                                    mFleet.network(daemon),
                                    mTicker,
                                    random,
                                    mPollExecutor,
                                    Runnable::run));
            watcher.registerHandlers();
            mWatchers.add(watcher);
            mStores.add(
                    new ConfigStore(mStore, rows, watcher, ConfigStore.randomCommitIds(random)));
        }
    }

    @AfterEach
    void stop() {
        mPollExecutor.shutdownNow();
    }

    private static DeploymentConfig zones(String... zones) {
        List<ZoneSpec> specs = new ArrayList<>();
        for (String zone : zones) {
            specs.add(new ZoneSpec(new Zone(zone), "r"));
        }
        return DeploymentConfig.builder().zones(specs).build();
    }

    private static ErrorKind kind(Either<HeathercourseException, ?> result) {
        return result.getLeft().kind();
    }

    /** Guards against an accepted change that peers have not applied or that is not stored. */
    @Test
    void acceptedChangeIsAppliedByAllDaemons() {
        List<Long> observedRevisions = new ArrayList<>();
        mWatchers.get(2).onChange(config -> observedRevisions.add(config.revision()));
        assertThat(mStores.get(0).propose(0, zones("x")).get().revision()).isEqualTo(1);
        assertThat(mStores.get(1).propose(1, zones("x", "y")).get().revision()).isEqualTo(2);
        assertThat(mWatchers).allMatch(w -> w.current().zones().size() == 2);
        assertThat(observedRevisions).containsExactly(1L, 2L);
        ConfigTable rows = new ConfigTable(mStore, mStore, mCodec);
        assertThat(rows.readHead().revision()).isEqualTo(2);
        assertThat(rows.readRevision(1).orElseThrow().zones()).hasSize(1);
        assertThat(rows.readRevision(0).orElseThrow()).isEqualTo(DeploymentConfig.empty());
    }

    /**
     * Guards against a change that overwrites a concurrent one, or whose conflict does not list it.
     */
    @Test
    void concurrentChangeIsReportedAsConflict() {
        mStore.beforeCommit = () -> mStores.get(1).propose(0, zones("theirs"));
        var result = mStores.get(0).propose(0, zones("yours"));
        assertThat(result.getLeft()).isInstanceOf(ConfigConflictException.class);
        ConfigConflictException conflict = (ConfigConflictException) result.getLeft();
        assertThat(conflict.currentRevision()).isEqualTo(1);
        assertThat(conflict.acceptedChanges()).containsExactly("zones[theirs]: added");
        assertThat(conflict.rejectedChanges()).containsExactly("zones[yours]: added");
        assertThat(kind(mStores.get(0).propose(0, zones("x")))).isEqualTo(ErrorKind.CONFLICT);
    }

    /**
     * Guards against a commit with a lost reply that is reported as a conflict or applied twice.
     */
    @Test
    void lostCommitReplyIsResolvedByCommitId() {
        mStore.loseReplies = 1;
        assertThat(mStores.get(0).propose(0, zones("x")).get().revision()).isEqualTo(1);
        assertThat(mWatchers.get(1).current().revision()).isEqualTo(1);
        mStore.loseReplies = 1;
        mStore.beforeCommit = () -> mStores.get(1).propose(1, zones("theirs"));
        assertThat(kind(mStores.get(0).propose(1, zones("y")))).isEqualTo(ErrorKind.CONFLICT);
    }

    /** Guards against a change that is accepted although its daemon cannot reach a majority. */
    @Test
    void changeRequiresMajority() {
        setIsolated("a", true);
        var result = mStores.get(0).propose(0, zones("x"));
        assertThat(kind(result)).isEqualTo(ErrorKind.STALE_CONFIGURATION);
        setIsolated("a", false);
        mStore.beforeCommit = () -> setIsolated("a", true);
        var unconfirmed = mStores.get(0).propose(0, zones("x"));
        assertThat(kind(unconfirmed)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        assertThat(unconfirmed.getLeft().notRun()).isFalse();
        mStore.down = true;
        setIsolated("a", false);
        assertThat(kind(mStores.get(0).propose(1, zones("y"))))
                .isEqualTo(ErrorKind.STORE_UNAVAILABLE);
    }

    private void setIsolated(String vm, boolean isolated) {
        for (DaemonInfo peer : mFleet.daemons) {
            for (String link : List.of(vm + ">" + peer.vm(), peer.vm() + ">" + vm)) {
                if (isolated) {
                    mFleet.cutLinks.add(link);
                } else {
                    mFleet.cutLinks.remove(link);
                }
            }
        }
    }

    /**
     * Guards against freshness without a store read or peer replies, and against a decreasing
     * revision.
     */
    @Test
    void freshnessFollowsFromStoreReadsAndPeerReplies() throws Exception {
        ConfigWatcher first = mWatchers.get(0);
        assertThat(first.isFresh()).isFalse();
        first.poll();
        assertThat(first.isFresh()).isTrue();
        mStore.down = true;
        mTicker.advanceMillis(3_100);
        first.poll();
        assertThat(first.isFresh()).isFalse();
        first.requestStatusOfPeers();
        assertThat(first.isFresh()).isTrue();
        assertThat(first.isStoreDownForMajority()).isTrue();
        mWatchers.get(1).apply(zones("x").withRevision(4));
        first.requestStatusOfPeers();
        // The request carried a lower revision, so the peer pushed its own configuration.
        assertThat(first.current().revision()).isEqualTo(4);
        byte[] old = mCodec.write(zones("old"));
        StatusReply reply =
                mFleet.network(mFleet.daemons.get(1))
                        .request(
                                mFleet.daemons.get(0),
                                new ConfigPush(3, old),
                                StatusReply.class,
                                100)
                        .get();
        assertThat(reply.revision()).isEqualTo(4);
    }

    /** Guards against a body above the row limit that is not stored as an object. */
    @Test
    void largeBodyIsStoredAsObject() {
        DeploymentConfig large =
                DeploymentConfig.builder()
                        .workspaces(
                                IntStream.range(0, 3_000)
                                        .mapToObj(i -> workspace("w" + i, "k" + i, false))
                                        .collect(Collectors.toList()))
                        .build();
        assertThat(mStores.get(0).propose(0, large).isRight()).isTrue();
        assertThat(mStore.list("config/rev/1/")).hasSize(1);
        mWatchers.get(0).poll();
        assertThat(new ConfigTable(mStore, mStore, mCodec).readRevision(1).orElseThrow())
                .isEqualTo(large.withRevision(1));
    }

    private static WorkspaceSpec workspace(String name, String keyId, boolean withdrawn) {
        KeySpec key = new KeySpec(keyId, "ab".repeat(32), withdrawn);
        return new WorkspaceSpec(new WorkspaceId(name), List.of(key), 1, 1, 0, 1);
    }

    /**
     * Guards against wrong keys that get another error than unknown ones, and withdrawn keys that
     * are accepted.
     */
    @Test
    void keysAreCheckedAgainstCurrentConfiguration() {
        KeyGenerator.Generated key = new KeyGenerator(new Random(5)).generate();
        assertThat(key.key()).matches("hc_[0-9a-f]{12}_[0-9a-f]{64}");
        assertThat(key.toString()).doesNotContain(key.key());
        ConfigWatcher watcher = mWatchers.get(0);
        Authenticator authenticator = new KeyAuthenticator(watcher);
        String header = "Bearer " + key.key();
        assertThat(kind(authenticator.authenticate(header)))
                .isEqualTo(ErrorKind.STALE_CONFIGURATION);
        apply(watcher, 1, key.spec());
        watcher.poll();
        Authenticator.Principal principal = authenticator.authenticate(header).get();
        assertThat(principal.workspace().value()).isEqualTo("mill");
        for (String wrong :
                new String[] {
                    null, "", "Basic x", "Bearer ", "Bearer hc_", "Bearer hc_x_y", header + "0"
                }) {
            assertThat(kind(authenticator.authenticate(wrong)))
                    .as("header " + wrong)
                    .isEqualTo(ErrorKind.UNAUTHENTICATED);
        }
        KeySpec spec = key.spec();
        apply(watcher, 2, new KeySpec(spec.keyId(), spec.sha256Hex(), true));
        assertThat(kind(authenticator.authenticate(header))).isEqualTo(ErrorKind.KEY_WITHDRAWN);
        assertThat(kind(authenticator.authenticate(header + "0")))
                .isEqualTo(ErrorKind.UNAUTHENTICATED);
        assertThat(authenticator.recheck(principal).map(HeathercourseException::kind))
                .contains(ErrorKind.KEY_WITHDRAWN);
    }

    private static void apply(ConfigWatcher watcher, long revision, KeySpec key) {
        WorkspaceSpec workspace =
                new WorkspaceSpec(new WorkspaceId("mill"), List.of(key), 1, 1, 0, 1);
        watcher.apply(
                DeploymentConfig.builder()
                        .workspaces(List.of(workspace))
                        .revision(revision)
                        .build());
    }
}
