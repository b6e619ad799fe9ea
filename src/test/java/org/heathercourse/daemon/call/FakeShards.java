package org.heathercourse.daemon.call;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.daemon.state.ShardDirectory;

/** Shard directory in which one daemon, or none, owns all shards. */
public final class FakeShards implements ShardDirectory {
    private final DaemonInfo mSelf;
    public final AtomicInteger useCount = new AtomicInteger();
    public volatile DaemonInfo owner;
    public volatile List<DaemonInfo> daemons;
    public volatile long fence = 7;

    /** Creates a directory. */
    public FakeShards(DaemonInfo self, DaemonInfo owner) {
        mSelf = self;
        this.owner = owner;
        daemons = List.of(self);
    }

    /** Returns a daemon on the loopback address. */
    public static DaemonInfo daemon(String vm, int peerPort) {
        return new DaemonInfo(
                new VmId(vm), 1, new Zone("z"), "127.0.0.1", 1, peerPort, 3, 1, 2000, false);
    }

    /** Returns the directory of a daemon that owns all shards. */
    public static FakeShards ownerOfAll() {
        DaemonInfo self = daemon("vm-1", 2);
        return new FakeShards(self, self);
    }

    private boolean ownedBySelf() {
        DaemonInfo now = owner;
        return now != null && now.vm().equals(mSelf.vm());
    }

    @Override
    public DaemonInfo self() {
        return mSelf;
    }

    @Override
    public OptionalLong fence(ShardId shard) {
        return ownedBySelf() ? OptionalLong.of(fence) : OptionalLong.empty();
    }

    @Override
    public Optional<DaemonInfo> owner(ShardId shard) {
        return Optional.ofNullable(owner);
    }

    @Override
    public List<DaemonInfo> daemons() {
        return daemons;
    }

    @Override
    public Optional<Use> acquireUse(ShardId shard) {
        if (!ownedBySelf()) {
            return Optional.empty();
        }
        useCount.incrementAndGet();
        return Optional.of(useCount::decrementAndGet);
    }
}
