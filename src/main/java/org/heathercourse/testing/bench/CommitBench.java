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
 * Counts the table transactions that a number of state engines need, idle and at a given rate of
 * appends, over a store in memory. The last line of standard output is JSON.
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
    private final AtomicLong mFailed = new AtomicLong();
    private final int mDaemons;
    private final int mShards;
    private final int mRate;
    private final int mSeconds;
    private final int mAnswerBytes;
    private final StateExecutors mExecutors;

    private CommitBench(int daemons, int shards, int rate, int seconds, int answerBytes) {
        mDaemons = daemons;
        mShards = shards;
        mRate = rate;
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

    /** Counts of the store at one moment. */
    private record Counts(long writes, long reads, long readBytes, long objects, long nanos) {
        double perSecond(Counts before, long now, long then) {
            return (now - then) * (double) NANOS_PER_SECOND / (nanos - before.nanos);
        }
    }

    /** Runs the bench; see {@code --help} for the options. */
    public static void main(String[] args) throws Exception {
        OptionParser parser = new OptionParser();
        var help = parser.accepts("help", "print the options").forHelp();
        var daemons = number(parser, "daemons", 12, "number of engines");
        var shards = number(parser, "shards", 64, "number of shards");
        var rate = number(parser, "appends-per-second", 200, "appends of all engines together");
        var seconds = number(parser, "seconds", 10, "length of each of the two measurements");
        var bytes = number(parser, "answer-bytes", 600, "size of each answer");
        var programs = number(parser, "programs", 50, "programs whose memory is measured");
        var turns = number(parser, "turns", 63, "turns of each of them");
        var tokens = number(parser, "tokens", 350_000, "tokens of the history of each of them");
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

    private static joptsimple.OptionSpec<Integer> number(
            OptionParser parser, String name, int value, String description) {
        return parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(value);
    }

    private String run(long bytesPerProgram) throws InterruptedException {
        mFaults.setDelayNanos(TimeUnit.MILLISECONDS.toNanos(STORE_DELAY_MILLIS));
        for (int i = 0; i < mDaemons; i++) {
            mEngines.add(engine(i));
        }
        mEngines.forEach(StateEngine::start);
        awaitOwners();
        progress("measuring idle");
        Counts before = counts();
        pause(mSeconds * 1_000L);
        Counts idle = counts();
        progress("measuring " + mRate + " appends per second");
        start();
        Counts loaded = counts();
        load();
        Counts end = counts();
        awaitCommits();
        mEngines.forEach(StateEngine::close);
        mExecutors.shutdown();
        return json(before, idle, loaded, end, bytesPerProgram);
    }

    private StateEngine engine(int index) {
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

    private void awaitOwners() throws InterruptedException {
        long owned = 0;
        while (owned < mShards) {
            pause(500);
            owned = 0;
            for (int s = 0; s < mShards; s++) {
                owned += owner(new ShardId(s)) == null ? 0 : 1;
            }
            progress(owned + " of " + mShards + " shards owned");
        }
        // The engines read the rows once a second; wait until all know the number of owners.
        pause(4_000);
    }

    private StateEngine owner(ShardId shard) {
        for (StateEngine engine : mEngines) {
            if (engine.fence(shard).isPresent()) {
                return engine;
            }
        }
        return null;
    }

    private ProgramId program(int index) {
        return new ProgramId("bench-" + index);
    }

    private int programs() {
        return mShards * 16;
    }

    private void start() throws InterruptedException {
        CountDownLatch left = new CountDownLatch(programs());
        for (int i = 0; i < programs(); i++) {
            ProgramId program = program(i);
            StateEngine owner = owner(ShardId.of(program, mShards));
            LogRecord started =
                    new LogRecord.ProgramStarted(
                            program, new WorkspaceId("w"), null, Long.MAX_VALUE, 1_000);
            owner.append(program, List.of(started)).whenComplete((ok, error) -> left.countDown());
        }
        left.await(30, TimeUnit.SECONDS);
    }

    private void load() throws InterruptedException {
        StateEngine[] owners = new StateEngine[programs()];
        for (int i = 0; i < owners.length; i++) {
            owners[i] = owner(ShardId.of(program(i), mShards));
        }
        String text = "x".repeat(mAnswerBytes);
        long startNanos = mTicker.readNanos();
        long total = (long) mRate * mSeconds;
        long sent = 0;
        while (sent < total) {
            long due = (mTicker.readNanos() - startNanos) * mRate / NANOS_PER_SECOND;
            for (; sent < Math.min(due, total); sent++) {
                int index = (int) (sent % owners.length);
                append(owners[index], program(index), "r" + sent / owners.length, text);
            }
            pause(1);
        }
    }

    private void awaitCommits() throws InterruptedException {
        long total = (long) mRate * mSeconds;
        for (int i = 0; i < 100 && mCommitMicros.getTotalCount() + mFailed.get() < total; i++) {
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
                                mFailed.incrementAndGet();
                            }
                        });
    }

    private Counts counts() {
        return new Counts(
                mTable.commitCount(),
                mTable.readCount(),
                mTable.readBytes(),
                mObjects.putCount(),
                mTicker.readNanos());
    }

    private String json(
            Counts before, Counts idle, Counts loaded, Counts end, long bytesPerProgram) {
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
                mRate,
                idle.perSecond(before, idle.writes(), before.writes()),
                idle.perSecond(before, idle.reads(), before.reads()),
                idle.perSecond(before, idle.readBytes(), before.readBytes()) / mDaemons,
                end.perSecond(loaded, end.writes(), loaded.writes()),
                end.perSecond(loaded, end.reads(), loaded.reads()),
                end.perSecond(loaded, end.objects(), loaded.objects()),
                mCommitMicros.getValueAtPercentile(50) / 1_000.0,
                mCommitMicros.getValueAtPercentile(99) / 1_000.0,
                mCommitMicros.getTotalCount(),
                mFailed.get(),
                STORE_DELAY_MILLIS,
                bytesPerProgram);
    }

    private static void progress(String text) {
        System.err.println("commit-bench: " + text);
    }

    private static void pause(long millis) throws InterruptedException {
        new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
    }
}
