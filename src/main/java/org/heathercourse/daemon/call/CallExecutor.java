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
 * Runs calls at the owner of their program: the calls of a program one at a time in order of
 * arrival. Repeated calls get the answer of the running call or the recorded outcome.
 *
 * <p>A daemon has exactly one, because a second one would have its own queues and run calls of one
 * program concurrently. Safe for use by several threads. Life cycle: create, use, {@link #close}.
 */
@Singleton
public final class CallExecutor implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(CallExecutor.class);

    private final CallDependencies mDependencies;
    private final ProgramRecorder mProgramRecorder;
    private final CircuitBreakers mCircuitBreakers;
    private final RetryBudget mRetryBudget;
    private final EphemeralSessions mEphemeralSessions;
    private final ProgramMaintenance mMaintenance;
    private final OrphanSessionSweeper mSessionSweeper;
    private final ExecutorService mWorkers;
    private final ScheduledExecutorService mTimer;
    private final Object mLock = new Object();
    // Guarded by mLock. The head of each queue is the running job.
    private final Map<ProgramId, Deque<Job>> mQueues = new HashMap<>();
    private final Map<Job.Key, Job> mJobs = new HashMap<>();

    /**
     * Creates an executor with its own worker threads.
     *
     * @param dependencies collaborators of the daemon
     */
    @Inject
    public CallExecutor(CallDependencies dependencies) {
        mDependencies = dependencies;
        mProgramRecorder = new ProgramRecorder(dependencies);
        mCircuitBreakers = new CircuitBreakers(dependencies.ticker());
        mRetryBudget = new RetryBudget(dependencies.ticker());
        mWorkers =
                new ThreadPoolExecutor(
                        0,
                        dependencies.settings().maxRunningCalls(),
                        30,
                        TimeUnit.SECONDS,
                        new SynchronousQueue<>(),
                        newThreadFactory("call-"));
        ScheduledThreadPoolExecutor timer =
                new ScheduledThreadPoolExecutor(1, newThreadFactory("call-timer-"));
        timer.setRemoveOnCancelPolicy(true);
        mTimer = timer;
        mEphemeralSessions = new EphemeralSessions(dependencies, mWorkers);
        mMaintenance =
                new ProgramMaintenance(
                        dependencies, mProgramRecorder, mWorkers, this::hasActiveCall);
        mSessionSweeper =
                new OrphanSessionSweeper(
                        dependencies, mProgramRecorder, mWorkers, this::hasActiveCall);
        mTimer.scheduleWithFixedDelay(this::maintain, 1, 1, TimeUnit.SECONDS);
    }

    private static ThreadFactory newThreadFactory(String prefix) {
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
            mEphemeralSessions.retryPending();
            mSessionSweeper.run();
        } catch (RuntimeException e) {
            LOG.error("program_maintenance_failed", e);
        }
    }

    ProgramRecorder recorder() {
        return mProgramRecorder;
    }

    CallDependencies dependencies() {
        return mDependencies;
    }

    ProgramMaintenance maintenance() {
        return mMaintenance;
    }

    Executor workers() {
        return mWorkers;
    }

    /** Returns whether a call of a program is running or queued at this daemon. */
    boolean hasActiveCall(ProgramId program) {
        synchronized (mLock) {
            Deque<Job> queue = mQueues.get(program);
            return queue != null && queue.stream().anyMatch(job -> !job.answer().ended());
        }
    }

    /** Returns the number of running and queued calls of programs at this daemon. */
    public int activeCallCount() {
        synchronized (mLock) {
            return mJobs.size();
        }
    }

    /** Returns the number of retries since start. */
    public long retryCount() {
        return mRetryBudget.retryCount();
    }

    /** Returns the number of targets whose circuit breaker admits no call. */
    public int openBreakerCount() {
        return mCircuitBreakers.blockedTargets().size();
    }

    /**
     * Accepts a call of a program, or returns the answer of an earlier call with the same identity.
     *
     * @param request the call
     * @param body its body
     * @return the answer; it consists of an error if the call is refused
     */
    public AnswerBuffer submit(CallRequest request, byte[] body) {
        try {
            return request.kind() == CallRequest.Kind.ATTACH
                    ? attach(request)
                    : accept(new Job(mDependencies, request, body, null));
        } catch (HeathercourseException e) {
            mDependencies.decisions().recordRefused(request, e);
            return AnswerBuffer.failed(e);
        }
    }

    /**
     * Runs a call that belongs to no program and has no identity.
     *
     * @param request the call
     * @param body its body; null if it is streamed
     * @param stream its streamed body; null if it is not streamed
     * @return the answer, for one reader
     */
    public AnswerBuffer runEphemeral(CallRequest request, byte[] body, InputStream stream) {
        Job job = new Job(mDependencies, request, body, stream);
        execute(job);
        return job.answer();
    }

    // Admission

    private AnswerBuffer accept(Job job) {
        job.mShardUse = mDependencies.acquireShard(job.shard());
        boolean accepted = false;
        try {
            AnswerBuffer answer;
            boolean first;
            synchronized (mLock) {
                answer = findEarlierAnswer(job);
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
                job.mShardUse.close();
            }
        }
    }

    /** Returns the answer of an earlier call with the same identity, or null if there is none. */
    private AnswerBuffer findEarlierAnswer(Job job) {
        CallRequest request = job.request();
        Job running = mJobs.get(job.key());
        // A job that has ended but is not removed yet is judged by its recorded outcome, if any.
        if (running != null && !running.answer().ended()) {
            checkWorkspace(request, running.request().workspace());
            if (!running.digest().equals(job.digest())) {
                throw CallErrors.identityConflict(request.request());
            }
            return running.answer();
        }
        Optional<ProgramState> found = mProgramRecorder.find(request.program());
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
            return answerFromRecord(job.key(), entry);
        }
        if (state.ended()) {
            throw CallErrors.programEnded(request.program(), state.endReason());
        }
        return null;
    }

    private boolean enqueue(Job job) {
        ProgramId program = job.request().program();
        mProgramRecorder.checkStoreBacklog(program);
        Deque<Job> queue = mQueues.computeIfAbsent(program, p -> new ArrayDeque<>());
        if (queue.size() > mDependencies.settings().maxQueuedPerProgram()) {
            throw CallErrors.overloaded(
                    queue.size()
                            + " calls of program "
                            + program
                            + " are queued or running already");
        }
        queue.add(job);
        mJobs.put(job.key(), job);
        boolean first = queue.size() == 1;
        job.mStarted = first;
        if (!first) {
            mDependencies.decisions().recordQueued(job.request(), queue.size() - 1);
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
            mQueues.get(job.request().program()).remove(job);
            mJobs.remove(job.key(), job);
        }
        job.mShardUse.close();
        fail(job, CallErrors.deadlineExceeded(true));
    }

    private void checkWorkspace(CallRequest request, WorkspaceId programWorkspace) {
        if (!Programs.workspaceOrOpen(request.workspace())
                .equals(Programs.workspaceOrOpen(programWorkspace))) {
            throw CallErrors.unknownProgram(request.program());
        }
    }

    private AnswerBuffer attach(CallRequest request) {
        Job.Key key = new Job.Key(request.program(), request.request());
        var shard = request.shard(mDependencies.config().current().shards());
        if (mDependencies.shards().fenceForIdempotentWork(shard).isEmpty()) {
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
                mProgramRecorder
                        .find(request.program())
                        .orElseThrow(() -> CallErrors.unknownProgram(request.program()));
        checkWorkspace(request, state.workspace());
        RequestId identity = request.request();
        CallEntry entry = state.calls().get(identity);
        if (entry == null) {
            throw CallErrors.unknownRequest(identity);
        }
        return answerFromRecord(key, entry);
    }

    private AnswerBuffer answerFromRecord(Job.Key key, CallEntry entry) {
        return switch (entry.state()) {
            case COMPLETED -> {
                AnswerBuffer answer = AnswerBuffer.retained();
                mProgramRecorder
                        .deliverableDurability(key)
                        .whenComplete(
                                (durability, e) -> deliverRecorded(key, entry, answer, durability));
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

    /**
     * Delivers a recorded answer. A null durability means that the shard was lost before the record
     * became durable.
     */
    private void deliverRecorded(
            Job.Key key, CallEntry entry, AnswerBuffer answer, String durability) {
        if (durability == null) {
            int shards = mDependencies.config().current().shards();
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
            fail(
                    job,
                    CallErrors.overloaded("this daemon already runs its maximum number of calls"));
            finish(job);
        }
    }

    private void run(Job job) {
        try {
            if (job.remainingMillis() <= 0) {
                throw CallErrors.deadlineExceeded(true);
            }
            job.requireFence(true);
            checkProgramNotEnded(job);
            if (job.request().kind() == CallRequest.Kind.MODEL) {
                new ModelCallRunner(
                                mDependencies,
                                mProgramRecorder,
                                mCircuitBreakers,
                                mRetryBudget,
                                mEphemeralSessions,
                                job)
                        .run();
            } else {
                new PlainCallRunner(
                                mDependencies,
                                mProgramRecorder,
                                mCircuitBreakers,
                                mRetryBudget,
                                job)
                        .run();
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
                            "report the call_failed line in the log of this daemon"));
        } finally {
            finish(job);
        }
    }

    private void fail(Job job, HeathercourseException error) {
        mDependencies.decisions().recordRefused(job.request(), error);
        job.answer().fail(error);
    }

    private void checkProgramNotEnded(Job job) {
        if (job.request().ephemeral()) {
            return;
        }
        ProgramState state = mProgramRecorder.find(job.request().program()).orElse(null);
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
            Deque<Job> queue = mQueues.get(program);
            queue.remove(job);
            next = queue.peek();
            if (next == null) {
                mQueues.remove(program);
            } else {
                next.mStarted = true;
                next.mQueueTimeout.cancel(false);
            }
        }
        job.mShardUse.close();
        mMaintenance.onUsed(program);
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
