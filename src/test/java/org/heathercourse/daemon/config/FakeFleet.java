package org.heathercourse.daemon.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.peer.PeerException;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.state.ShardDirectory;
import org.heathercourse.platform.CommitResult;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.Row;
import org.heathercourse.platform.StoreException;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.Transaction;

/** An in-memory deployment: daemons, the links between them and a store. Replies are immediate. */
public final class FakeFleet {
    /** Daemons in the order in which they were added. */
    public final List<DaemonInfo> daemons = new ArrayList<>();

    /** Pairs of VMs whose link is down, as "from>to". */
    public final Set<String> cutLinks = new HashSet<>();

    /** VM that owns all shards; null if there is no owner. */
    public VmId owner;

    /** Fencing number of the owner. */
    public long fence = 1;

    private final Map<VmId, Link> mLinks = new HashMap<>();

    /** Adds a daemon. */
    public DaemonInfo add(String vm) {
        DaemonInfo info =
                new DaemonInfo(
                        new VmId(vm), 1, new Zone("z"), "127.0.0.1", 0, 0, 0, 0, 2_000, false);
        daemons.add(info);
        mLinks.put(info.vm(), new Link(info));
        return info;
    }

    /** Returns the peer network of a daemon. */
    public PeerNetwork network(DaemonInfo of) {
        return mLinks.get(of.vm());
    }

    /** Returns the shard directory of a daemon. */
    public ShardDirectory directory(DaemonInfo of) {
        return new Directory(of);
    }

    private final class Directory implements ShardDirectory {
        private final DaemonInfo mSelf;

        Directory(DaemonInfo self) {
            mSelf = self;
        }

        @Override
        public DaemonInfo self() {
            return mSelf;
        }

        @Override
        public OptionalLong fence(ShardId shard) {
            return mSelf.vm().equals(owner) ? OptionalLong.of(fence) : OptionalLong.empty();
        }

        @Override
        public Optional<DaemonInfo> owner(ShardId shard) {
            return daemons.stream().filter(d -> d.vm().equals(owner)).findFirst();
        }

        @Override
        public List<DaemonInfo> daemons() {
            return List.copyOf(daemons);
        }

        @Override
        public Optional<Use> acquireUse(ShardId shard) {
            return Optional.empty();
        }
    }

    private final class Link implements PeerNetwork {
        private final DaemonInfo mSelf;
        private final Map<Class<?>, Function<PeerMessage, CompletionStage<? extends PeerMessage>>>
                mHandlers = new HashMap<>();

        Link(DaemonInfo self) {
            mSelf = self;
        }

        @Override
        public <R extends PeerMessage> CompletableFuture<R> request(
                DaemonInfo to, PeerMessage message, Class<R> replyType, long timeoutMillis) {
            var handler = mLinks.get(to.vm()).mHandlers.get(message.getClass());
            if (handler == null || cutLinks.contains(mSelf.vm() + ">" + to.vm())) {
                return CompletableFuture.failedFuture(new PeerException("no link", true, null));
            }
            return handler.apply(message).thenApply(replyType::cast).toCompletableFuture();
        }

        @Override
        public <M extends PeerMessage> void onRequest(
                Class<M> type, Function<M, CompletionStage<? extends PeerMessage>> handler) {
            mHandlers.put(type, message -> handler.apply(type.cast(message)));
        }

        @Override
        public CallStream openCall(
                DaemonInfo to,
                PeerMessage.CallStart start,
                Consumer<PeerMessage> listener,
                Consumer<PeerException> onLinkLost) {
            throw new UnsupportedOperationException("this fake does not support calls");
        }

        @Override
        public void onCall(BiConsumer<PeerMessage.CallStart, CallStream> handler) {
            throw new UnsupportedOperationException("this fake does not support calls");
        }

        @Override
        public void close() {
            mHandlers.clear();
        }
    }

    /** An in-memory table and object store with injected failures. */
    public static final class Store implements TableStore, ObjectStore {
        /** Whether all calls fail without effect, except deleting and listing objects. */
        public boolean down;

        /** Number of next commits that take effect but fail with an unknown outcome. */
        public int loseReplies;

        /** Runs once before the next commit, for instance to let a concurrent commit win. */
        public Runnable beforeCommit = () -> {};

        private final TreeMap<String, Row> mRows = new TreeMap<>();
        private final TreeMap<String, byte[]> mObjects = new TreeMap<>();

        @Override
        public Optional<Row> read(String key) {
            throwIfDown();
            return Optional.ofNullable(mRows.get(key));
        }

        @Override
        public List<Row> scan(String prefix, String afterKey, int limit) {
            throw new UnsupportedOperationException("the configuration is not scanned");
        }

        @Override
        public CommitResult commit(Transaction transaction) {
            throwIfDown();
            Runnable before = beforeCommit;
            beforeCommit = () -> {};
            before.run();
            List<Row> conflicts = new ArrayList<>();
            boolean versionsMatch = true;
            for (Transaction.Write write : transaction.writes()) {
                Row row = mRows.get(write.key());
                if ((row == null ? Row.ABSENT : row.version()) != write.expectedVersion()) {
                    versionsMatch = false;
                    Optional.ofNullable(row).ifPresent(conflicts::add);
                }
            }
            if (!versionsMatch) {
                return new CommitResult(false, conflicts);
            }
            for (Transaction.Write write : transaction.writes()) {
                long version = write.expectedVersion() + 1;
                mRows.put(
                        write.key(),
                        new Row(write.key(), version, transaction.commitId(), write.value()));
            }
            if (loseReplies > 0) {
                loseReplies--;
                throw StoreException.outcomeUnknown("reply lost", null);
            }
            return new CommitResult(true, List.of());
        }

        private void throwIfDown() {
            if (down) {
                throw StoreException.unavailable("store down", null);
            }
        }

        @Override
        public void put(String name, byte[] content) {
            throwIfDown();
            mObjects.put(name, content);
        }

        @Override
        public Optional<byte[]> get(String name) {
            throwIfDown();
            return Optional.ofNullable(mObjects.get(name));
        }

        @Override
        public void delete(String name) {
            mObjects.remove(name);
        }

        @Override
        public List<String> list(String prefix) {
            return List.copyOf(mObjects.tailMap(prefix).keySet());
        }
    }
}
