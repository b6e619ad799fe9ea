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
 * Runs one call of a plain service. A call that may not be repeated is dispatched at most once, and
 * only after its intent is durable. Used by one worker thread.
 */
final class PlainRun {
    private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;
    private static final int READ_BYTES = 32 * 1024;
    private static final Set<Integer> RETRIED_STATUSES = Set.of(502, 503, 504);

    private final CallDependencies mServices;
    private final PlainOutcomes mOutcomes;
    private final Job mJob;
    private final CallRequest mRequest;
    private final RouteSpec mRoute;
    private final Attempts mAttempts;
    private final boolean mRepeatable;

    PlainRun(
            CallDependencies services,
            Recorder recorder,
            Breakers breakers,
            RetryBudget retryBudget,
            Job job) {
        mServices = services;
        mJob = job;
        mRequest = job.request();
        ServiceSpec service =
                services.config()
                        .current()
                        .service(mRequest.service())
                        .filter(s -> s.kind() == ServiceKind.PLAIN)
                        .orElseThrow(() -> unknown("service " + mRequest.service()));
        mRoute =
                Routes.match(service, mRequest.method(), mRequest.path())
                        .orElseThrow(() -> unknown("a route for " + mRequest.method()));
        mRepeatable = mRoute.retrySafety().mayRepeat();
        mOutcomes = new PlainOutcomes(services, recorder, job);
        mAttempts = new Attempts(services, breakers, retryBudget, job, selection());
    }

    private static HeathercourseException unknown(String what) {
        return new HeathercourseException(
                ErrorKind.UNKNOWN_SERVICE,
                what + " is not declared",
                "ask the operator to declare it");
    }

    private TargetSelector.Request selection() {
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

    /** Runs the call to its end; throws what the caller has to be told if there is no answer. */
    void run() {
        if (mRepeatable) {
            runRepeatable();
        } else {
            runOnce();
        }
    }

    // Calls that may be repeated

    private void runRepeatable() {
        if (!mRequest.ephemeral()) {
            mOutcomes.ensureStarted();
        }
        HeathercourseException error;
        do {
            Choice choice = mAttempts.choose();
            long fence = mAttempts.begin(choice);
            try {
                long start = mServices.ticker().readMillis();
                boolean last = mJob.body() == null;
                exchange(choice, fence, start, last);
                return;
            } catch (TargetException e) {
                mAttempts.failed(choice, e.failure());
                error = failure(e.failure());
            } catch (IOException e) {
                TargetFailure broken = broken(e);
                mAttempts.failed(choice, broken);
                error = failure(broken);
            } catch (RuntimeException e) {
                mAttempts.failed(choice, givenUp());
                throw e;
            }
        } while (mJob.body() != null && mJob.answer().untouched() && mAttempts.retryAfterPause());
        if (!mRequest.ephemeral()) {
            mOutcomes.failed(error, mAttempts.mayHaveRun());
        }
        throw error;
    }

    private HeathercourseException failure(TargetFailure failure) {
        if (mJob.remainingMillis() <= 0) {
            return CallErrors.deadline(!mAttempts.mayHaveRun());
        }
        String message = "the target failed: " + failure.kind() + " " + failure.message();
        return CallErrors.targetFailed(message, !mAttempts.mayHaveRun());
    }

    // Calls that may not be repeated

    private void runOnce() {
        Choice choice = mAttempts.choose();
        long committedFence = 0;
        if (!mRequest.ephemeral()) {
            committedFence = mOutcomes.commitIntent(choice.target().target());
        }
        long fence = beginOnce(choice, committedFence);
        try {
            exchange(choice, fence, mServices.ticker().readMillis(), true);
        } catch (TargetException e) {
            mAttempts.failed(choice, e.failure());
            throw recorded(onceFailure(e.failure()), !e.failure().kind().provesNotRun());
        } catch (IOException e) {
            TargetFailure broken = broken(e);
            mAttempts.failed(choice, broken);
            throw recorded(onceFailure(broken), true);
        } catch (HeathercourseException e) {
            mAttempts.failed(choice, givenUp());
            if (e.kind() == ErrorKind.OWNERSHIP_LOST || e.kind() == ErrorKind.DRAINING) {
                throw e;
            }
            throw recorded(CallErrors.outcomeUnknown(e.getMessage()), true);
        } catch (RuntimeException e) {
            mAttempts.failed(choice, broken(e));
            throw recorded(onceFailure(broken(e)), true);
        }
    }

    private long beginOnce(Choice choice, long committedFence) {
        long fence;
        try {
            fence = mAttempts.begin(choice);
        } catch (HeathercourseException e) {
            if (e.kind() != ErrorKind.OWNERSHIP_LOST) {
                recorded(e, false);
            }
            throw e;
        }
        if (fence != committedFence) {
            mAttempts.failed(choice, notSent("the shard changed its owner"));
            throw CallErrors.ownershipLost(mJob.shard(), true);
        }
        return fence;
    }

    private HeathercourseException recorded(HeathercourseException error, boolean mayHaveRun) {
        if (!mRequest.ephemeral()) {
            mOutcomes.failed(error, mayHaveRun);
        }
        return error;
    }

    private static HeathercourseException onceFailure(TargetFailure failure) {
        String message = "the target failed: " + failure.kind() + " " + failure.message();
        return failure.kind().provesNotRun()
                ? CallErrors.targetFailed(message, true)
                : CallErrors.outcomeUnknown(message);
    }

    private static TargetFailure notSent(String message) {
        return new TargetFailure(TargetFailure.Kind.NOT_SENT, 0, message);
    }

    private static TargetFailure givenUp() {
        return new TargetFailure(TargetFailure.Kind.CANCELLED, 0, "the exchange was given up");
    }

    private static TargetFailure broken(Exception e) {
        return new TargetFailure(TargetFailure.Kind.BROKEN, 0, e.getClass().getSimpleName());
    }

    // The exchange with the target

    private void exchange(Choice choice, long fence, long startMillis, boolean last)
            throws IOException {
        try (PlainClient.Response response =
                mServices.plain().send(Attempts.address(choice), request(fence))) {
            if (!last && mRepeatable && RETRIED_STATUSES.contains(response.status())) {
                TargetFailure failure =
                        new TargetFailure(
                                TargetFailure.Kind.BROKEN,
                                response.status(),
                                "status " + response.status());
                throw new TargetException(Attempts.address(choice), failure);
            }
            long firstMillis = mServices.ticker().readMillis() - startMillis;
            mJob.answer().onCancel(() -> close(response));
            PlainAnswer answer = mOutcomes.begin(response, choice.target().target());
            InputStream body = response.body();
            byte[] buffer = new byte[READ_BYTES];
            for (int n = body.read(buffer); n >= 0; n = body.read(buffer)) {
                answer.append(Arrays.copyOf(buffer, n));
            }
            mAttempts.succeeded(
                    choice, Usage.NONE, firstMillis, mServices.ticker().readMillis() - startMillis);
            answer.end();
        }
    }

    private PlainClient.Request request(long fence) {
        byte[] body = mJob.body();
        InputStream stream = mJob.stream();
        long length = -1;
        if (body != null) {
            stream = body.length == 0 ? null : new ByteArrayInputStream(body);
            length = body.length;
        }
        long limit = mRoute.timeoutMillis() > 0 ? mRoute.timeoutMillis() : DEFAULT_TIMEOUT_MILLIS;
        return new PlainClient.Request(
                mRequest.method(),
                mRequest.path(),
                PlainHeaders.buildTargetHeaders(mRequest, fence),
                stream,
                length,
                Math.max(1, Math.min(limit, mJob.remainingMillis())));
    }

    private static void close(PlainClient.Response response) {
        try {
            response.close();
        } catch (IOException e) {
            throw new UncheckedIOException("the exchange could not be closed", e);
        }
    }

    /** Receives the body of an answer. */
    interface PlainAnswer {
        void append(byte[] bytes);

        void end();
    }
}
