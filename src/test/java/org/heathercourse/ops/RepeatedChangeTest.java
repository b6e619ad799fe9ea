package org.heathercourse.ops;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.config.ConfigChanges;
import org.heathercourse.daemon.config.ConfigCodec;
import org.heathercourse.daemon.config.ConfigTable;
import org.heathercourse.daemon.config.ConfigWatcher;
import org.heathercourse.daemon.config.KeyGenerator;
import org.heathercourse.daemon.peer.PeerException;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.ops.v1.AddKeyRequest;
import org.heathercourse.ops.v1.AddKeyResponse;
import org.heathercourse.ops.v1.ApplyRequest;
import org.heathercourse.ops.v1.ApplyResponse;
import org.heathercourse.ops.v1.Configuration;
import org.heathercourse.ops.v1.WorkspaceDeclaration;
import org.heathercourse.testing.ManualTicker;
import org.heathercourse.testing.memory.MemoryObjectStore;
import org.heathercourse.testing.memory.MemoryTableStore;
import org.heathercourse.testing.memory.StoreFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Changes that are repeated after a lost reply, at the same daemon and at another one, and changes
 * that are rejected.
 */
class RepeatedChangeTest {
    private final StoreFaults mFaults = new StoreFaults();
    private final MemoryTableStore mTable = new MemoryTableStore(mFaults);
    private final MemoryObjectStore mObjects = new MemoryObjectStore(mFaults);
    private final ScheduledThreadPoolExecutor mThreads = new ScheduledThreadPoolExecutor(1);

    @AfterEach
    void stop() {
        mThreads.shutdownNow();
    }

    /** Guards against accepting a change twice when it is repeated after many other changes. */
    @Test
    void repeatAfterManyOtherChangesReturnsOriginalRevision() {
        Node a = new Node("a");
        assertThat(a.apply(0, 1, "first").getRevision()).isEqualTo(1);
        for (int i = 2; i <= 20; i++) {
            assertThat(a.apply(i - 1, i, "other-" + i).getRevision()).isEqualTo(i);
        }

        ApplyResponse repeat = a.apply(0, 1, "first");

        assertThat(repeat.getRevision()).isEqualTo(1);
        assertThat(repeat.getDifferencesList()).isNotEmpty();
        assertThat(a.mWatcher.current().revision()).isEqualTo(20);
    }

    /** Guards against reporting a repeated change as accepted that no majority has in force. */
    @Test
    void repeatOfUnconfirmedChangeRequiresMajority() {
        Node a = new Node("a", "b");
        // The other daemon lists only itself, so it commits the change without daemon a.
        new Node("b").apply(0, 1, "first");
        a.mDeliversPushes = false;
        assertUnavailable(() -> a.apply(0, 1, "first"));

        a.mDeliversPushes = true;

        assertThat(a.apply(0, 1, "first").getRevision()).isEqualTo(1);
    }

    /** Guards against returning a key that no configuration contains to a repeated request. */
    @Test
    void repeatOfAddedKeyIsRejected() {
        Node a = new Node("a");
        a.apply(0, 1, "first");
        AddKeyResponse added = a.addKey("key-change");

        assertThatThrownBy(() -> a.addKey("key-change"))
                .isInstanceOf(StatusRuntimeException.class)
                .hasMessageStartingWith("ABORTED")
                .hasMessageContaining(added.getKeyId());
        assertThat(a.mWatcher.current().workspaces().get(0).keys()).hasSize(1);
    }

    /** Guards against different configurations under one revision at two daemons. */
    @Test
    void concurrentAttemptsAtTwoDaemonsEndWithOneConfiguration() throws Exception {
        Node a = new Node("a");
        Node b = new Node("b");
        a.apply(0, 1, "first");
        mFaults.pause("a");
        Thread slow = new Thread(() -> assertAborted(() -> a.addKey("key-change")));
        slow.start();
        mFaults.awaitPaused("a");
        AddKeyResponse added = b.addKey("key-change");
        mFaults.resume("a");
        slow.join();

        assertThat(a.mWatcher.current()).isEqualTo(b.mWatcher.current());
        assertThat(a.mWatcher.current().workspaces().get(0).keys())
                .singleElement()
                .satisfies(key -> assertThat(key.keyId()).isEqualTo(added.getKeyId()));
    }

    /** Guards against a number of shards of which the daemons would own only some. */
    @Test
    void otherNumberOfShardsThanDefaultIsRejected() {
        Node a = new Node("a");
        ResponseCapture<ApplyResponse> answer = new ResponseCapture<>();
        a.mService.apply(
                ApplyRequest.newBuilder()
                        .setConfiguration(Configuration.newBuilder().setShards(256))
                        .setChangeId("first")
                        .build(),
                answer);

        assertThatThrownBy(answer::get)
                .hasMessageStartingWith("INVALID_ARGUMENT")
                .hasMessageContaining("shards is 256, expected 64");
    }

    private static void assertUnavailable(Runnable call) {
        assertThatThrownBy(call::run).hasMessageStartingWith(Status.Code.UNAVAILABLE.name());
    }

    private static void assertAborted(Runnable call) {
        assertThatThrownBy(call::run).hasMessageStartingWith(Status.Code.ABORTED.name());
    }

    // ---- fixture ----

    /** Operator service of one daemon over the shared store, with stubbed directory and peers. */
    private final class Node implements ShardDirectory, PeerNetwork {
        final ConfigWatcher mWatcher;
        private final OperatorService mService;
        private final List<DaemonInfo> mDaemons = new ArrayList<>();
        private boolean mDeliversPushes = true;

        Node(String vm, String... peers) {
            mDaemons.add(info(vm));
            for (String peer : peers) {
                mDaemons.add(info(peer));
            }
            ConfigCodec codec = new ConfigCodec();
            ConfigTable rows = new ConfigTable(mTable.viewFor(vm), mObjects.viewFor(vm), codec);
            ManualTicker ticker = new ManualTicker();
            mWatcher =
                    new ConfigWatcher(
                            new ConfigWatcher.Parts(
                                    rows,
                                    codec,
                                    this,
                                    this,
                                    ticker,
                                    new Random(1),
                                    mThreads,
                                    Runnable::run));
            mWatcher.start();
            // Waits for the first poll, before which a daemon accepts no change.
            CompletableFuture.runAsync(() -> {}, mThreads).join();
            mService =
                    new OperatorService(
                            mWatcher,
                            new ConfigChanges(mTable.viewFor(vm), rows, mWatcher),
                            null,
                            null,
                            new KeyGenerator(new Random(vm.hashCode())),
                            ticker,
                            mThreads);
        }

        ApplyResponse apply(long base, int rate, String changeId) {
            Configuration.Builder configuration = Configuration.newBuilder().setShards(64);
            configuration.addWorkspaces(
                    WorkspaceDeclaration.newBuilder()
                            .setWorkspace("hall")
                            .setRatePerSecond(rate)
                            .setBurst(1));
            ResponseCapture<ApplyResponse> answer = new ResponseCapture<>();
            mService.apply(
                    ApplyRequest.newBuilder()
                            .setConfiguration(configuration)
                            .setBaseRevision(base)
                            .setChangeId(changeId)
                            .build(),
                    answer);
            return answer.get();
        }

        AddKeyResponse addKey(String changeId) {
            ResponseCapture<AddKeyResponse> answer = new ResponseCapture<>();
            mService.addKey(
                    AddKeyRequest.newBuilder().setWorkspace("hall").setChangeId(changeId).build(),
                    answer);
            return answer.get();
        }

        private DaemonInfo info(String vm) {
            return new DaemonInfo(
                    new VmId(vm), 1, new Zone("z"), "127.0.0.1", 1, 2, 3, 0, 2_000, false);
        }

        @Override
        public DaemonInfo self() {
            return mDaemons.get(0);
        }

        @Override
        public List<DaemonInfo> daemons() {
            return mDaemons;
        }

        @Override
        public <R extends PeerMessage> CompletableFuture<R> request(
                DaemonInfo to, PeerMessage message, Class<R> replyType, long timeoutMillis) {
            if (message instanceof PeerMessage.ConfigPush && !mDeliversPushes) {
                return CompletableFuture.failedFuture(new PeerException("cut", true, null));
            }
            long revision = message instanceof PeerMessage.ConfigPush push ? push.revision() : 0;
            return CompletableFuture.completedFuture(
                    replyType.cast(new PeerMessage.StatusReply(to.vm(), 1, revision, -1, false)));
        }

        @Override
        public OptionalLong fence(ShardId shard) {
            return OptionalLong.empty();
        }

        @Override
        public Optional<DaemonInfo> owner(ShardId shard) {
            return Optional.empty();
        }

        @Override
        public Optional<Use> acquireUse(ShardId shard) {
            return Optional.empty();
        }

        @Override
        public <M extends PeerMessage> void onRequest(
                Class<M> type, Function<M, CompletionStage<? extends PeerMessage>> handler) {}

        @Override
        public CallStream openCall(
                DaemonInfo to,
                PeerMessage.CallStart start,
                Consumer<PeerMessage> listener,
                Consumer<PeerException> onLinkLost) {
            throw new UnsupportedOperationException("the test opens no calls");
        }

        @Override
        public void onCall(BiConsumer<PeerMessage.CallStart, CallStream> handler) {}

        @Override
        public void close() {}
    }

    /** Captures the response or the error of a unary call. */
    private static final class ResponseCapture<T> implements StreamObserver<T> {
        private final CompletableFuture<T> mValue = new CompletableFuture<>();

        @Override
        public void onNext(T value) {
            mValue.complete(value);
        }

        @Override
        public void onError(Throwable failure) {
            mValue.completeExceptionally(failure);
        }

        @Override
        public void onCompleted() {}

        T get() {
            if (mValue.isCompletedExceptionally()) {
                throw (RuntimeException) mValue.handle((value, failure) -> failure).join();
            }
            return mValue.join();
        }
    }
}
