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

/** Daemons, their links and a store in memory; replies come at once. */
public final class FakeFleet {
    /** Members in the order of their addition. */
    public final List<DaemonInfo> daemons = new ArrayList<>();

    /** Pairs of VMs whose link is cut, as "from>to". */
    public final Set<String> cut = new HashSet<>();

    /** VM that owns all shards, and its fence. */
    public VmId owner;

    /** Fence of the owner. */
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

    /** Returns the network as a daemon sees it. */
    public PeerNetwork network(DaemonInfo of) {
        return mLinks.get(of.vm());
    }

    /** Returns the directory as a daemon sees it. */
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
            if (handler == null || cut.contains(mSelf.vm() + ">" + to.vm())) {
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
            throw new UnsupportedOperationException("this fake carries no calls");
        }

        @Override
        public void onCall(BiConsumer<PeerMessage.CallStart, CallStream> handler) {
            throw new UnsupportedOperationException("this fake carries no calls");
        }

        @Override
        public void close() {
            mHandlers.clear();
        }
    }

    /** A table and objects in memory with switches for failures. */
    public static final class Store implements TableStore, ObjectStore {
        /** Whether calls fail without effect. */
        public boolean down;

        /** Replies of commits that are lost after the effect. */
        public int loseReplies;

        /** Run once before the next commit, for instance to let another writer win. */
        public Runnable beforeCommit = () -> {};

        private final TreeMap<String, Row> mRows = new TreeMap<>();
        private final TreeMap<String, byte[]> mObjects = new TreeMap<>();

        @Override
        public Optional<Row> read(String key) {
            check();
            return Optional.ofNullable(mRows.get(key));
        }

        @Override
        public List<Row> scan(String prefix, String afterKey, int limit) {
            throw new UnsupportedOperationException("the configuration is not scanned");
        }

        @Override
        public CommitResult commit(Transaction transaction) {
            check();
            Runnable before = beforeCommit;
            beforeCommit = () -> {};
            before.run();
            List<Row> conflicts = new ArrayList<>();
            boolean held = true;
            for (Transaction.Write write : transaction.writes()) {
                Row row = mRows.get(write.key());
                if ((row == null ? Row.ABSENT : row.version()) != write.expectedVersion()) {
                    held = false;
                    Optional.ofNullable(row).ifPresent(conflicts::add);
                }
            }
            if (!held) {
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

        private void check() {
            if (down) {
                throw StoreException.unavailable("store down", null);
            }
        }

        @Override
        public void put(String name, byte[] content) {
            check();
            mObjects.put(name, content);
        }

        @Override
        public Optional<byte[]> get(String name) {
            check();
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
