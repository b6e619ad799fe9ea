package org.heathercourse.testing.bench;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.state.StateEngine;
import org.heathercourse.daemon.state.StateExecutors;
import org.heathercourse.daemon.state.StateSettings;
import org.heathercourse.testing.memory.MemoryObjectStore;
import org.heathercourse.testing.memory.MemoryTableStore;
import org.heathercourse.testing.memory.StoreFaults;

/**
 * Counts the table transactions of a number of state engines, idle and at a given rate of appends,
 * with an in-memory store. The last line of standard output is JSON.
 */
public final class CommitBench {
    private static final int STORE_DELAY_MILLIS = 2;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Ticker mTicker = Ticker.system();
    private final StoreFaults mFaults = new StoreFaults();
    private final MemoryTableStore mTable = new MemoryTableStore(mFaults);
    private final MemoryObjectStore mObjects = new MemoryObjectStore(mFaults);
    private final List<StateEngine> mEngines = new ArrayList<>();
    private final Histogram mCommitMicros = new ConcurrentHistogram(3);
    private final AtomicLong mFailedAppends = new AtomicLong();
    private final int mDaemons;
    private final int mShards;
    private final int mAppendsPerSecond;
    private final int mSeconds;
    private final int mAnswerBytes;
    private final StateExecutors mExecutors;

    private CommitBench(int daemons, int shards, int rate, int seconds, int answerBytes) {
        mDaemons = daemons;
        mShards = shards;
        mAppendsPerSecond = rate;
        mSeconds = seconds;
        mAnswerBytes = answerBytes;
        int threads = Math.min(16, daemons);
        mExecutors =
                new StateExecutors(
                        Executors.newScheduledThreadPool(threads),
                        Executors.newScheduledThreadPool(threads),
                        Executors.newScheduledThreadPool(threads),
                        Executors.newFixedThreadPool(4),
                        Executors.newCachedThreadPool());
    }

    /** Snapshot of the operation counts of the store. */
    private record StoreCounts(
            long writes, long reads, long readBytes, long objects, long timestampNanos) {
        double perSecond(StoreCounts earlier, long count, long earlierCount) {
            return (count - earlierCount)
                    * (double) NANOS_PER_SECOND
                    / (timestampNanos - earlier.timestampNanos);
        }
    }

    /** Runs the bench; see {@code --help} for the options. */
    public static void main(String[] args) throws Exception {
        OptionParser parser = new OptionParser();
        var help = parser.accepts("help", "print the options").forHelp();
        var daemons = intOption(parser, "daemons", 12, "number of engines");
        var shards = intOption(parser, "shards", 64, "number of shards");
        var rate = intOption(parser, "appends-per-second", 200, "appends of all engines together");
        var seconds =
                intOption(
                        parser,
                        "seconds",
                        10,
                        "duration of each of the two measurements in seconds");
        var bytes = intOption(parser, "answer-bytes", 600, "size of each answer in bytes");
        var programs =
                intOption(parser, "programs", 50, "number of programs for the memory measurement");
        var turns =
                intOption(parser, "turns", 63, "turns of each program of the memory measurement");
        var tokens =
                intOption(
                        parser,
                        "tokens",
                        350_000,
                        "history tokens of each program of the memory measurement");
        OptionSet options = parser.parse(args);
        if (options.has(help)) {
            parser.printHelpOn(System.out);
            return;
        }
        long perProgram =
                ProgramMemory.bytesPerProgram(
                        options.valueOf(programs), options.valueOf(turns), options.valueOf(tokens));
        CommitBench bench =
                new CommitBench(
                        options.valueOf(daemons),
                        options.valueOf(shards),
                        options.valueOf(rate),
                        options.valueOf(seconds),
                        options.valueOf(bytes));
        System.out.println(bench.run(perProgram));
        System.exit(0);
    }

    private static joptsimple.OptionSpec<Integer> intOption(
            OptionParser parser, String name, int value, String description) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(value);
    }

    private String run(long bytesPerProgram) throws InterruptedException {
        mFaults.setDelayNanos(TimeUnit.MILLISECONDS.toNanos(STORE_DELAY_MILLIS));
        for (int i = 0; i < mDaemons; i++) {
            mEngines.add(createEngine(i));
        }
        mEngines.forEach(StateEngine::start);
        awaitShardOwners();
        printProgress("measuring idle");
        StoreCounts before = readCounts();
        pause(mSeconds * 1_000L);
        StoreCounts idle = readCounts();
        printProgress("measuring " + mAppendsPerSecond + " appends per second");
        startPrograms();
        StoreCounts loaded = readCounts();
        appendAtRate();
        StoreCounts end = readCounts();
        awaitCommits();
        mEngines.forEach(StateEngine::close);
        mExecutors.shutdown();
        return formatJson(before, idle, loaded, end, bytesPerProgram);
    }

    private StateEngine createEngine(int index) {
        DaemonInfo self =
                new DaemonInfo(
                        new VmId("vm-" + index),
                        1,
                        new Zone("zone-" + index % 6),
                        "127.0.0.1",
                        8_080,
                        8_081,
                        8_082,
                        0,
                        2_000,
                        false);
        return StateEngine.builder(StateSettings.of(self, mShards))
                .store(mTable.viewFor("vm-" + index), mObjects.viewFor("vm-" + index))
                .ticker(mTicker)
                .random(new JDKRandomBridge(RandomSource.SPLIT_MIX_64, (long) index))
                .executors(mExecutors)
                .build();
    }

    private void awaitShardOwners() throws InterruptedException {
        long owned = 0;
        while (owned < mShards) {
            pause(500);
            owned = 0;
            for (int s = 0; s < mShards; s++) {
                owned += findOwner(new ShardId(s)) == null ? 0 : 1;
            }
            printProgress(owned + " of " + mShards + " shards owned");
        }
        // Each engine reads the rows once a second; wait until all have read the current owners.
        pause(4_000);
    }

    private StateEngine findOwner(ShardId shard) {
        for (StateEngine engine : mEngines) {
            if (engine.fence(shard).isPresent()) {
                return engine;
            }
        }
        return null;
    }

    private ProgramId programId(int index) {
        return new ProgramId("bench-" + index);
    }

    private int programCount() {
        return mShards * 16;
    }

    private void startPrograms() throws InterruptedException {
        CountDownLatch remaining = new CountDownLatch(programCount());
        for (int i = 0; i < programCount(); i++) {
            ProgramId program = programId(i);
            StateEngine owner = findOwner(ShardId.of(program, mShards));
            LogRecord started =
                    new LogRecord.ProgramStarted(
                            program, new WorkspaceId("w"), null, Long.MAX_VALUE, 1_000);
            owner.append(program, List.of(started))
                    .whenComplete((ok, error) -> remaining.countDown());
        }
        remaining.await(30, TimeUnit.SECONDS);
    }

    private void appendAtRate() throws InterruptedException {
        StateEngine[] owners = new StateEngine[programCount()];
        for (int i = 0; i < owners.length; i++) {
            owners[i] = findOwner(ShardId.of(programId(i), mShards));
        }
        String text = "x".repeat(mAnswerBytes);
        long startNanos = mTicker.readNanos();
        long total = (long) mAppendsPerSecond * mSeconds;
        long sent = 0;
        while (sent < total) {
            long dueAppends =
                    (mTicker.readNanos() - startNanos) * mAppendsPerSecond / NANOS_PER_SECOND;
            for (; sent < Math.min(dueAppends, total); sent++) {
                int index = (int) (sent % owners.length);
                append(owners[index], programId(index), "r" + sent / owners.length, text);
            }
            pause(1);
        }
    }

    private void awaitCommits() throws InterruptedException {
        long total = (long) mAppendsPerSecond * mSeconds;
        for (int i = 0;
                i < 100 && mCommitMicros.getTotalCount() + mFailedAppends.get() < total;
                i++) {
            pause(100);
        }
    }

    private void append(StateEngine owner, ProgramId program, String request, String text) {
        LogRecord record =
                new LogRecord.CallCompleted(
                        program,
                        new RequestId(request),
                        "0123456789abcdef0123456789abcdef",
                        200,
                        "application/json",
                        text.getBytes(StandardCharsets.UTF_8),
                        List.of(new ChatMessage("user", text), new ChatMessage("assistant", text)),
                        100,
                        1_000,
                        new TargetId("engine-1"));
        long startNanos = mTicker.readNanos();
        owner.append(program, List.of(record))
                .whenComplete(
                        (ok, error) -> {
                            if (error == null) {
                                long nanos = mTicker.readNanos() - startNanos;
                                mCommitMicros.recordValue(nanos / 1_000);
                            } else {
                                mFailedAppends.incrementAndGet();
                            }
                        });
    }

    private StoreCounts readCounts() {
        return new StoreCounts(
                mTable.commitCount(),
                mTable.readCount(),
                mTable.readBytes(),
                mObjects.putCount(),
                mTicker.readNanos());
    }

    private String formatJson(
            StoreCounts before,
            StoreCounts idle,
            StoreCounts loaded,
            StoreCounts end,
            long bytesPerProgram) {
        return String.format(
                Locale.ROOT,
                "{\"daemons\":%d,\"shards\":%d,\"appends_per_second\":%d,"
                        + "\"idle_table_writes_per_second\":%.1f,"
                        + "\"idle_table_reads_per_second\":%.1f,"
                        + "\"idle_read_bytes_per_second_per_daemon\":%.0f,"
                        + "\"table_writes_per_second\":%.1f,\"table_reads_per_second\":%.1f,"
                        + "\"object_writes_per_second\":%.1f,"
                        + "\"commit_p50_ms\":%.1f,\"commit_p99_ms\":%.1f,"
                        + "\"committed\":%d,\"failed\":%d,"
                        + "\"store_delay_ms\":%d,\"bytes_per_program\":%d}",
                mDaemons,
                mShards,
                mAppendsPerSecond,
                idle.perSecond(before, idle.writes(), before.writes()),
                idle.perSecond(before, idle.reads(), before.reads()),
                idle.perSecond(before, idle.readBytes(), before.readBytes()) / mDaemons,
                end.perSecond(loaded, end.writes(), loaded.writes()),
                end.perSecond(loaded, end.reads(), loaded.reads()),
                end.perSecond(loaded, end.objects(), loaded.objects()),
                mCommitMicros.getValueAtPercentile(50) / 1_000.0,
                mCommitMicros.getValueAtPercentile(99) / 1_000.0,
                mCommitMicros.getTotalCount(),
                mFailedAppends.get(),
                STORE_DELAY_MILLIS,
                bytesPerProgram);
    }

    private static void printProgress(String text) {
        System.err.println("commit-bench: " + text);
    }

    private static void pause(long millis) throws InterruptedException {
        new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
    }
}
