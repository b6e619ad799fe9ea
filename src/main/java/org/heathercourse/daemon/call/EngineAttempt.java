package org.heathercourse.daemon.call;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.Usage;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.EngineClient.GenerateRequest;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetFailure;
import org.heathercourse.platform.TargetFailure.Kind;

/**
 * One attempt to run a call at an engine. Events that arrive after its end are ignored, so that
 * late pieces cannot mix with those of the next attempt. Events are handled one at a time; {@link
 * #run} is called once.
 */
final class EngineAttempt implements EngineClient.Listener {
    // The engine client applies the token timeout itself; the margin covers a client that fails
    // to do so.
    private static final long TOKEN_TIMEOUT_MARGIN_MILLIS = 1000;

    /** Receiver of the pieces of the answer. */
    interface PieceListener {
        /**
         * Handles one piece.
         *
         * @param index index of the piece in the answer, from 0
         * @param text text of the piece
         * @throws HeathercourseException if the piece is not the expected one; ends the attempt
         */
        void onPiece(int index, String text);
    }

    /**
     * Result of an attempt.
     *
     * @param finishReason finish reason reported by the engine; empty if the attempt failed
     * @param usage tokens used
     * @param failure cause of the failure; null if the attempt ended with an answer
     * @param error error that ends the call; null if another attempt is possible
     * @param pieceCount number of pieces of the answer, including those before a resumption
     * @param firstPieceMillis time to the first piece, in milliseconds
     * @param totalMillis time to the end of the attempt, in milliseconds
     */
    record Outcome(
            String finishReason,
            Usage usage,
            TargetFailure failure,
            HeathercourseException error,
            int pieceCount,
            long firstPieceMillis,
            long totalMillis) {}

    private final CallDependencies mDependencies;
    private final Job mJob;
    private final PieceListener mPieceListener;
    private final long mStartMillis;
    private final CompletableFuture<Outcome> mOutcome = new CompletableFuture<>();
    private volatile long mLastProgressMillis;
    private volatile long mFirstPieceMillis = -1;
    private int mPieceCount;

    EngineAttempt(CallDependencies dependencies, Job job, PieceListener pieceListener) {
        mDependencies = dependencies;
        mJob = job;
        mPieceListener = pieceListener;
        mStartMillis = dependencies.ticker().readMillis();
        mLastProgressMillis = mStartMillis;
    }

    /** Runs the attempt to its end. */
    Outcome run(TargetAddress address, GenerateRequest request) {
        mPieceCount = request.resumeFromToken();
        EngineClient.Call call;
        try {
            call = mDependencies.engine().generate(address, request, this);
        } catch (RuntimeException e) {
            onFailure(new TargetFailure(Kind.BROKEN, 0, e.getClass().getSimpleName()));
            return mOutcome.join();
        }
        mJob.answer().onCancel(call::cancel);
        try {
            return awaitOutcome(call);
        } catch (InterruptedException e) {
            onFailure(new TargetFailure(Kind.CANCELLED, 0, "the daemon is stopping"));
            call.cancel();
            throw CallErrors.interrupted(false);
        } catch (ExecutionException e) {
            throw new IllegalStateException("the outcome of an attempt completed exceptionally", e);
        }
    }

    private Outcome awaitOutcome(EngineClient.Call call)
            throws InterruptedException, ExecutionException {
        while (true) {
            long tokenTimeoutMillis =
                    mDependencies.settings().tokenTimeoutMillis() + TOKEN_TIMEOUT_MARGIN_MILLIS;
            long remainingMillis =
                    tokenTimeoutMillis
                            - (mDependencies.ticker().readMillis() - mLastProgressMillis);
            long waitMillis = Math.max(1, Math.min(remainingMillis, mJob.remainingMillis()));
            try {
                Outcome outcome = mOutcome.get(waitMillis, TimeUnit.MILLISECONDS);
                if (outcome.error() != null) {
                    call.cancel();
                }
                return outcome;
            } catch (TimeoutException e) {
                if (endIfTimedOut(tokenTimeoutMillis)) {
                    call.cancel();
                    return mOutcome.get();
                }
            }
        }
    }

    /**
     * Ends the attempt at the deadline of the call or when no token arrived in time. Waits for a
     * piece that is being delivered.
     */
    private synchronized boolean endIfTimedOut(long tokenTimeoutMillis) {
        if (mJob.remainingMillis() <= 0) {
            onFailure(new TargetFailure(Kind.CANCELLED, 0, "the deadline has passed"));
            return true;
        }
        if (mDependencies.ticker().readMillis() - mLastProgressMillis >= tokenTimeoutMillis) {
            onFailure(new TargetFailure(Kind.TIMEOUT, 0, "the engine sent no token in time"));
            return true;
        }
        return false;
    }

    @Override
    public synchronized void onToken(int index, String text) {
        if (mOutcome.isDone()) {
            return;
        }
        mLastProgressMillis = mDependencies.ticker().readMillis();
        if (mFirstPieceMillis < 0) {
            mFirstPieceMillis = mLastProgressMillis - mStartMillis;
        }
        try {
            mPieceListener.onPiece(index, text);
            mPieceCount = Math.max(mPieceCount, index + 1);
            // Excludes time spent on a slow reader from the token timeout of the engine.
            mLastProgressMillis = mDependencies.ticker().readMillis();
        } catch (HeathercourseException e) {
            end("", Usage.NONE, new TargetFailure(Kind.CANCELLED, 0, e.getMessage()), e);
        }
    }

    @Override
    public synchronized void onComplete(String finishReason, Usage usage) {
        end(finishReason, usage, null, null);
    }

    @Override
    public synchronized void onFailure(TargetFailure failure) {
        end("", Usage.NONE, failure, null);
    }

    private void end(
            String finishReason, Usage usage, TargetFailure failure, HeathercourseException error) {
        long totalMillis = mDependencies.ticker().readMillis() - mStartMillis;
        long firstPieceMillis = mFirstPieceMillis < 0 ? totalMillis : mFirstPieceMillis;
        mOutcome.complete(
                new Outcome(
                        finishReason,
                        usage,
                        failure,
                        error,
                        mPieceCount,
                        firstPieceMillis,
                        totalMillis));
    }
}
