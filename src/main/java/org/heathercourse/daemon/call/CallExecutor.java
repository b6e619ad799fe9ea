package org.heathercourse.daemon.call;

import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.program.CallEntry;
import org.heathercourse.core.program.CallState;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.log.EventLog;

/**
 * The owner side of calls: runs the calls of each program one at a time in the order of their
 * arrival, and answers repeats from the running attempt or the record.
 *
 * <p>A daemon has exactly one, as only one set of lanes keeps the calls of a program in order. Safe
 * for use by several threads. Life cycle: create, use, {@link #close}.
 */
@Singleton
public final class CallExecutor implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(CallExecutor.class);

    private final CallDependencies mServices;
    private final Recorder mRecorder;
    private final Breakers mBreakers;
    private final RetryBudget mRetryBudget;
    private final EphemeralSessions mSessions;
    private final ProgramMaintenance mMaintenance;
    private final SessionSweep mSweep;
    private final ExecutorService mWorkers;
    private final ScheduledExecutorService mTimer;
    private final Object mLock = new Object();
    // Guarded by mLock. The first job of a lane is the running one.
    private final Map<ProgramId, Deque<Job>> mLanes = new HashMap<>();
    private final Map<Job.Key, Job> mJobs = new HashMap<>();

    /**
     * Creates an executor with its own worker threads.
     *
     * @param services the rest of the daemon
     */
    @Inject
    public CallExecutor(CallDependencies services) {
        mServices = services;
        mRecorder = new Recorder(services);
        mBreakers = new Breakers(services.ticker());
        mRetryBudget = new RetryBudget(services.ticker());
        mWorkers =
                new ThreadPoolExecutor(
                        0,
                        services.settings().maxRunningCalls(),
                        30,
                        TimeUnit.SECONDS,
                        new SynchronousQueue<>(),
                        threads("call-"));
        ScheduledThreadPoolExecutor timer =
                new ScheduledThreadPoolExecutor(1, threads("call-timer-"));
        timer.setRemoveOnCancelPolicy(true);
        mTimer = timer;
        mSessions = new EphemeralSessions(services, mWorkers);
        mMaintenance = new ProgramMaintenance(services, mRecorder, mWorkers, this::hasActiveCall);
        mSweep = new SessionSweep(services, mRecorder, mWorkers, this::hasActiveCall);
        mTimer.scheduleWithFixedDelay(this::maintain, 1, 1, TimeUnit.SECONDS);
    }

    private static ThreadFactory threads(String prefix) {
        AtomicLong count = new AtomicLong();
        return task -> {
            Thread thread = new Thread(task, prefix + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }

    private void maintain() {
        try {
            mMaintenance.run();
            mSessions.retry();
            mSweep.run();
        } catch (RuntimeException e) {
            LOG.error("program_maintenance_failed", e);
        }
    }

    Recorder recorder() {
        return mRecorder;
    }

    CallDependencies services() {
        return mServices;
    }

    ProgramMaintenance maintenance() {
        return mMaintenance;
    }

    Executor workers() {
        return mWorkers;
    }

    /** Returns whether a call of a program runs or waits here. */
    boolean hasActiveCall(ProgramId program) {
        synchronized (mLock) {
            Deque<Job> lane = mLanes.get(program);
            return lane != null && lane.stream().anyMatch(job -> !job.answer().ended());
        }
    }

    /** Returns the number of logged calls that run or wait here. */
    public int activeCallCount() {
        synchronized (mLock) {
            return mJobs.size();
        }
    }

    /** Returns the retries that were made so far. */
    public long retryCount() {
        return mRetryBudget.retries();
    }

    /** Returns the number of targets whose circuit breaker lets no call through. */
    public int openBreakerCount() {
        return mBreakers.blocked().size();
    }

    /**
     * Accepts a call of a program, or finds the answer of an earlier one with the same identity.
     *
     * @param request the call
     * @param body its body
     * @return the answer, which holds the error if the call is refused
     */
    public AnswerBuffer submit(CallRequest request, byte[] body) {
        try {
            return request.kind() == CallRequest.Kind.ATTACH
                    ? attach(request)
                    : accept(new Job(mServices, request, body, null));
        } catch (HeathercourseException e) {
            mServices.decisions().recordRefused(request, e);
            return AnswerBuffer.failed(e);
        }
    }

    /**
     * Runs a call that belongs to no program and has no identity.
     *
     * @param request the call
     * @param body its body; null if it is a stream
     * @param stream its body as a stream; null if it is not
     * @return the answer, for one reader
     */
    public AnswerBuffer runEphemeral(CallRequest request, byte[] body, InputStream stream) {
        Job job = new Job(mServices, request, body, stream);
        execute(job);
        return job.answer();
    }

    // Acceptance

    private AnswerBuffer accept(Job job) {
        job.mUse = mServices.use(job.shard());
        boolean accepted = false;
        try {
            AnswerBuffer answer;
            boolean first;
            synchronized (mLock) {
                answer = earlier(job);
                if (answer != null) {
                    return answer;
                }
                first = enqueue(job);
            }
            accepted = true;
            if (first) {
                execute(job);
            }
            return job.answer();
        } finally {
            if (!accepted) {
                job.mUse.close();
            }
        }
    }

    /** Returns the answer of an earlier call with the same identity, or null if this one is new. */
    private AnswerBuffer earlier(Job job) {
        CallRequest request = job.request();
        Job running = mJobs.get(job.key());
        // An attempt that has ended but still tidies up counts by its record, if it left one.
        if (running != null && !running.answer().ended()) {
            checkWorkspace(request, running.request().workspace());
            if (!running.digest().equals(job.digest())) {
                throw CallErrors.identityConflict(request.request());
            }
            return running.answer();
        }
        Optional<ProgramState> found = mRecorder.find(request.program());
        if (found.isEmpty()) {
            return null;
        }
        ProgramState state = found.get();
        checkWorkspace(request, state.workspace());
        CallEntry entry = state.calls().get(request.request());
        if (entry != null && !entry.bodyDigest().equals(job.digest())) {
            throw CallErrors.identityConflict(request.request());
        }
        if (entry != null && !(entry.state() == CallState.FAILED && entry.notRun())) {
            return recorded(job.key(), entry);
        }
        if (state.ended()) {
            throw CallErrors.programEnded(request.program(), state.endReason());
        }
        return null;
    }

    private boolean enqueue(Job job) {
        ProgramId program = job.request().program();
        mRecorder.checkBacklog(program);
        Deque<Job> lane = mLanes.computeIfAbsent(program, p -> new ArrayDeque<>());
        if (lane.size() > mServices.settings().maxQueuedPerProgram()) {
            throw CallErrors.overloaded(
                    lane.size() + " calls of program " + program + " wait already");
        }
        lane.add(job);
        mJobs.put(job.key(), job);
        boolean first = lane.size() == 1;
        job.mStarted = first;
        if (!first) {
            mServices.decisions().recordQueued(job.request(), lane.size() - 1);
            job.mQueueTimeout =
                    mTimer.schedule(
                            () -> expire(job),
                            Math.max(1, job.remainingMillis()),
                            TimeUnit.MILLISECONDS);
        }
        return first;
    }

    private void expire(Job job) {
        synchronized (mLock) {
            if (job.mStarted) {
                return;
            }
            mLanes.get(job.request().program()).remove(job);
            mJobs.remove(job.key(), job);
        }
        job.mUse.close();
        fail(job, CallErrors.deadline(true));
    }

    private void checkWorkspace(CallRequest request, WorkspaceId of) {
        if (!Programs.workspaceOf(request.workspace()).equals(Programs.workspaceOf(of))) {
            throw CallErrors.unknownProgram(request.program());
        }
    }

    private AnswerBuffer attach(CallRequest request) {
        Job.Key key = new Job.Key(request.program(), request.request());
        var shard = request.shard(mServices.config().current().shards());
        if (mServices.shards().fenceForIdempotentWork(shard).isEmpty()) {
            throw CallErrors.ownershipLost(shard, true);
        }
        synchronized (mLock) {
            Job running = mJobs.get(key);
            if (running != null) {
                checkWorkspace(request, running.request().workspace());
                return running.answer();
            }
        }
        ProgramState state =
                mRecorder
                        .find(request.program())
                        .orElseThrow(() -> CallErrors.unknownProgram(request.program()));
        checkWorkspace(request, state.workspace());
        RequestId identity = request.request();
        CallEntry entry = state.calls().get(identity);
        if (entry == null) {
            throw CallErrors.unknownRequest(identity);
        }
        return recorded(key, entry);
    }

    private AnswerBuffer recorded(Job.Key key, CallEntry entry) {
        return switch (entry.state()) {
            case COMPLETED -> {
                AnswerBuffer answer = AnswerBuffer.retained();
                mRecorder
                        .deliverable(key)
                        .whenComplete((durability, e) -> deliver(key, entry, answer, durability));
                yield answer;
            }
            case FAILED ->
                    AnswerBuffer.failed(
                            HeathercourseException.builder(
                                            ErrorKind.fromWireName(entry.errorKind()))
                                    .message(entry.message())
                                    .remedy("use a new identity for a new attempt")
                                    .notRun(entry.notRun())
                                    .build());
            case INTENT, UNKNOWN ->
                    AnswerBuffer.failed(
                            CallErrors.outcomeUnknown(
                                    "the daemon that dispatched the call failed before it"
                                            + " recorded an outcome"));
        };
    }

    /** Delivers a recorded answer; without a durability the shard was lost before its record. */
    private void deliver(Job.Key key, CallEntry entry, AnswerBuffer answer, String durability) {
        if (durability == null) {
            int shards = mServices.config().current().shards();
            answer.fail(CallErrors.ownershipLost(ShardId.of(key.program(), shards), false));
            return;
        }
        answer.head(
                entry.status(),
                Map.of(
                        "Content-Type",
                        List.of(entry.contentType()),
                        "X-Durability",
                        List.of(durability)));
        answer.append(entry.answer());
        answer.end(durability);
    }

    // Execution

    private void execute(Job job) {
        try {
            mWorkers.execute(() -> run(job));
        } catch (RejectedExecutionException e) {
            fail(job, CallErrors.overloaded("this daemon runs as many calls as it may"));
            finish(job);
        }
    }

    private void run(Job job) {
        try {
            if (job.remainingMillis() <= 0) {
                throw CallErrors.deadline(true);
            }
            job.fence(true);
            checkNotEnded(job);
            if (job.request().kind() == CallRequest.Kind.MODEL) {
                new ModelRun(mServices, mRecorder, mBreakers, mRetryBudget, mSessions, job).run();
            } else {
                new PlainRun(mServices, mRecorder, mBreakers, mRetryBudget, job).run();
            }
        } catch (HeathercourseException e) {
            fail(job, e);
        } catch (RuntimeException | Error e) {
            LOG.error(
                    "call_failed",
                    e,
                    "program",
                    job.request().program(),
                    "request",
                    job.request().request());
            fail(
                    job,
                    new HeathercourseException(
                            ErrorKind.INTERNAL,
                            "internal error: " + e.getClass().getSimpleName(),
                            "report the log line of this daemon"));
        } finally {
            finish(job);
        }
    }

    private void fail(Job job, HeathercourseException error) {
        mServices.decisions().recordRefused(job.request(), error);
        job.answer().fail(error);
    }

    private void checkNotEnded(Job job) {
        if (job.request().ephemeral()) {
            return;
        }
        ProgramState state = mRecorder.find(job.request().program()).orElse(null);
        if (state != null) {
            checkWorkspace(job.request(), state.workspace());
            if (state.ended()) {
                throw CallErrors.programEnded(state.program(), state.endReason());
            }
        }
    }

    private void finish(Job job) {
        if (job.request().ephemeral()) {
            return;
        }
        Job next;
        ProgramId program = job.request().program();
        synchronized (mLock) {
            mJobs.remove(job.key(), job);
            Deque<Job> lane = mLanes.get(program);
            lane.remove(job);
            next = lane.peek();
            if (next == null) {
                mLanes.remove(program);
            } else {
                next.mStarted = true;
                next.mQueueTimeout.cancel(false);
            }
        }
        job.mUse.close();
        mMaintenance.used(program);
        if (next != null) {
            execute(next);
        }
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mWorkers.shutdownNow();
    }
}
