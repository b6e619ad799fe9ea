package org.heathercourse.daemon.call;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Set;
import org.heathercourse.core.config.RouteSpec;
import org.heathercourse.core.config.ServiceKind;
import org.heathercourse.core.config.ServiceSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.Usage;
import org.heathercourse.daemon.call.TargetSelector.Choice;
import org.heathercourse.platform.PlainClient;
import org.heathercourse.platform.TargetException;
import org.heathercourse.platform.TargetFailure;

/**
 * Runs one call of a plain service. A non-idempotent call is dispatched at most once, and only
 * after its intent is durable. Used by one worker thread.
 */
final class PlainCallRunner {
    private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;
    private static final int READ_BUFFER_BYTES = 32 * 1024;
    private static final Set<Integer> RETRIABLE_STATUSES = Set.of(502, 503, 504);

    private final CallDependencies mDependencies;
    private final PlainCallRecorder mCallRecorder;
    private final Job mJob;
    private final CallRequest mRequest;
    private final RouteSpec mRoute;
    private final AttemptTracker mAttemptTracker;
    private final boolean mRepeatable;

    PlainCallRunner(
            CallDependencies dependencies,
            ProgramRecorder recorder,
            CircuitBreakers breakers,
            RetryBudget retryBudget,
            Job job) {
        mDependencies = dependencies;
        mJob = job;
        mRequest = job.request();
        ServiceSpec service =
                dependencies
                        .config()
                        .current()
                        .service(mRequest.service())
                        .filter(s -> s.kind() == ServiceKind.PLAIN)
                        .orElseThrow(() -> undeclared("service " + mRequest.service()));
        mRoute =
                Routes.match(service, mRequest.method(), mRequest.path())
                        .orElseThrow(() -> undeclared("a route for " + mRequest.method()));
        mRepeatable = mRoute.retrySafety().mayRepeat();
        mCallRecorder = new PlainCallRecorder(dependencies, recorder, job);
        mAttemptTracker =
                new AttemptTracker(
                        dependencies, breakers, retryBudget, job, buildSelectionRequest());
    }

    private static HeathercourseException undeclared(String what) {
        return new HeathercourseException(
                ErrorKind.UNKNOWN_SERVICE,
                what + " is not declared",
                "ask the operator to declare it");
    }

    private TargetSelector.Request buildSelectionRequest() {
        return new TargetSelector.Request(
                mRequest.service(),
                "",
                mRequest.oneCall() ? null : mRequest.program(),
                "",
                mRequest.workspace(),
                mRequest.requestClass(),
                0,
                0,
                0,
                mJob.remainingMillis(),
                Set.of());
    }

    /**
     * Runs the call to its end.
     *
     * @throws HeathercourseException the error for the caller if there is no answer
     */
    void run() {
        if (mRepeatable) {
            runRepeatable();
        } else {
            runAtMostOnce();
        }
    }

    // Idempotent calls

    private void runRepeatable() {
        if (!mRequest.ephemeral()) {
            mCallRecorder.ensureProgramStarted();
        }
        HeathercourseException error;
        do {
            Choice choice = mAttemptTracker.selectTarget();
            long fence = mAttemptTracker.beginAttempt(choice);
            try {
                long startMillis = mDependencies.ticker().readMillis();
                boolean finalAttempt = mJob.body() == null;
                exchange(choice, fence, startMillis, finalAttempt);
                return;
            } catch (TargetException e) {
                mAttemptTracker.onFailed(choice, e.failure());
                error = toCallError(e.failure());
            } catch (IOException e) {
                TargetFailure broken = brokenFailure(e);
                mAttemptTracker.onFailed(choice, broken);
                error = toCallError(broken);
            } catch (RuntimeException e) {
                mAttemptTracker.onFailed(choice, cancelledFailure());
                throw e;
            }
        } while (mJob.body() != null
                && mJob.answer().lacksHead()
                && mAttemptTracker.awaitBackoff());
        if (!mRequest.ephemeral()) {
            mCallRecorder.recordFailed(error, mAttemptTracker.mayHaveRun());
        }
        throw error;
    }

    private HeathercourseException toCallError(TargetFailure failure) {
        if (mJob.remainingMillis() <= 0) {
            return CallErrors.deadlineExceeded(!mAttemptTracker.mayHaveRun());
        }
        String message = "the target failed: " + failure.kind() + " " + failure.message();
        return CallErrors.targetFailed(message, !mAttemptTracker.mayHaveRun());
    }

    // Non-idempotent calls

    private void runAtMostOnce() {
        Choice choice = mAttemptTracker.selectTarget();
        long committedFence = 0;
        if (!mRequest.ephemeral()) {
            committedFence = mCallRecorder.commitIntent(choice.target().target());
        }
        long fence = beginAtMostOnce(choice, committedFence);
        try {
            exchange(choice, fence, mDependencies.ticker().readMillis(), true);
        } catch (TargetException e) {
            mAttemptTracker.onFailed(choice, e.failure());
            throw recordFailed(toAtMostOnceError(e.failure()), !e.failure().kind().provesNotRun());
        } catch (IOException e) {
            TargetFailure broken = brokenFailure(e);
            mAttemptTracker.onFailed(choice, broken);
            throw recordFailed(toAtMostOnceError(broken), true);
        } catch (HeathercourseException e) {
            mAttemptTracker.onFailed(choice, cancelledFailure());
            if (e.kind() == ErrorKind.OWNERSHIP_LOST || e.kind() == ErrorKind.DRAINING) {
                throw e;
            }
            throw recordFailed(CallErrors.outcomeUnknown(e.getMessage()), true);
        } catch (RuntimeException e) {
            mAttemptTracker.onFailed(choice, brokenFailure(e));
            throw recordFailed(toAtMostOnceError(brokenFailure(e)), true);
        }
    }

    private long beginAtMostOnce(Choice choice, long committedFence) {
        long fence;
        try {
            fence = mAttemptTracker.beginAttempt(choice);
        } catch (HeathercourseException e) {
            if (e.kind() != ErrorKind.OWNERSHIP_LOST) {
                recordFailed(e, false);
            }
            throw e;
        }
        if (fence != committedFence) {
            mAttemptTracker.onFailed(
                    choice,
                    notSentFailure("the fencing number of the shard has changed since the intent"));
            throw CallErrors.ownershipLost(mJob.shard(), true);
        }
        return fence;
    }

    private HeathercourseException recordFailed(HeathercourseException error, boolean mayHaveRun) {
        if (!mRequest.ephemeral()) {
            mCallRecorder.recordFailed(error, mayHaveRun);
        }
        return error;
    }

    private static HeathercourseException toAtMostOnceError(TargetFailure failure) {
        String message = "the target failed: " + failure.kind() + " " + failure.message();
        return failure.kind().provesNotRun()
                ? CallErrors.targetFailed(message, true)
                : CallErrors.outcomeUnknown(message);
    }

    private static TargetFailure notSentFailure(String message) {
        return new TargetFailure(TargetFailure.Kind.NOT_SENT, 0, message);
    }

    private static TargetFailure cancelledFailure() {
        return new TargetFailure(
                TargetFailure.Kind.CANCELLED, 0, "the daemon cancelled the exchange");
    }

    private static TargetFailure brokenFailure(Exception e) {
        return new TargetFailure(TargetFailure.Kind.BROKEN, 0, e.getClass().getSimpleName());
    }

    // The exchange with the target

    private void exchange(Choice choice, long fence, long startMillis, boolean finalAttempt)
            throws IOException {
        try (PlainClient.Response response =
                mDependencies
                        .plain()
                        .send(AttemptTracker.addressOf(choice), buildTargetRequest(fence))) {
            if (!finalAttempt && mRepeatable && RETRIABLE_STATUSES.contains(response.status())) {
                TargetFailure failure =
                        new TargetFailure(
                                TargetFailure.Kind.BROKEN,
                                response.status(),
                                "status " + response.status());
                throw new TargetException(AttemptTracker.addressOf(choice), failure);
            }
            long headMillis = mDependencies.ticker().readMillis() - startMillis;
            mJob.answer().onCancel(() -> close(response));
            AnswerSink answer = mCallRecorder.beginAnswer(response, choice.target().target());
            InputStream body = response.body();
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            for (int n = body.read(buffer); n >= 0; n = body.read(buffer)) {
                answer.append(Arrays.copyOf(buffer, n));
            }
            mAttemptTracker.onSucceeded(
                    choice,
                    Usage.NONE,
                    headMillis,
                    mDependencies.ticker().readMillis() - startMillis);
            answer.end();
        }
    }

    private PlainClient.Request buildTargetRequest(long fence) {
        byte[] body = mJob.body();
        InputStream stream = mJob.bodyStream();
        long length = -1;
        if (body != null) {
            stream = body.length == 0 ? null : new ByteArrayInputStream(body);
            length = body.length;
        }
        long timeoutMillis =
                mRoute.timeoutMillis() > 0 ? mRoute.timeoutMillis() : DEFAULT_TIMEOUT_MILLIS;
        return new PlainClient.Request(
                mRequest.method(),
                mRequest.path(),
                PlainHeaders.buildTargetHeaders(mRequest, fence),
                stream,
                length,
                Math.max(1, Math.min(timeoutMillis, mJob.remainingMillis())));
    }

    private static void close(PlainClient.Response response) {
        try {
            response.close();
        } catch (IOException e) {
            throw new UncheckedIOException("the exchange could not be closed", e);
        }
    }

    /** Receiver of the body of an answer. */
    interface AnswerSink {
        /** Receives the next part of the body. */
        void append(byte[] bytes);

        /** Ends the answer; blocks until it may be delivered. */
        void end();
    }
}
