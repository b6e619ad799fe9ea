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
 * One attempt at an engine. Events that arrive after its end are ignored, so that a late answer
 * never mixes with the next attempt's.
 */
final class EngineAttempt implements EngineClient.Listener {
    // The engine client reports silence itself; this margin covers a client that does not.
    private static final long SILENCE_MARGIN_MILLIS = 1000;

    /** Receives the pieces of the answer. */
    interface Pieces {
        /**
         * Called for each piece.
         *
         * @throws HeathercourseException if the piece does not fit; ends the attempt
         */
        void onPiece(int index, String text);
    }

    /**
     * End of an attempt.
     *
     * @param finishReason reason as given by the engine; empty if it failed
     * @param usage tokens used
     * @param failure how it failed; null if it ended with an answer
     * @param error what ended the whole call; null if another attempt may follow
     * @param pieces number of pieces up to the end
     * @param firstMillis time to the first piece
     * @param totalMillis time to the end
     */
    record Outcome(
            String finishReason,
            Usage usage,
            TargetFailure failure,
            HeathercourseException error,
            int pieces,
            long firstMillis,
            long totalMillis) {}

    private final CallDependencies mServices;
    private final Job mJob;
    private final Pieces mPieces;
    private final long mStartMillis;
    private final CompletableFuture<Outcome> mOutcome = new CompletableFuture<>();
    private volatile long mLastMillis;
    private volatile long mFirstMillis = -1;
    private int mCount;

    EngineAttempt(CallDependencies services, Job job, Pieces pieces) {
        mServices = services;
        mJob = job;
        mPieces = pieces;
        mStartMillis = services.ticker().readMillis();
        mLastMillis = mStartMillis;
    }

    /** Runs the attempt to its end. */
    Outcome run(TargetAddress address, GenerateRequest request) {
        mCount = request.resumeFromToken();
        EngineClient.Call call;
        try {
            call = mServices.engine().generate(address, request, this);
        } catch (RuntimeException e) {
            onFailure(new TargetFailure(Kind.BROKEN, 0, e.getClass().getSimpleName()));
            return mOutcome.join();
        }
        mJob.answer().onCancel(call::cancel);
        try {
            return await(call);
        } catch (InterruptedException e) {
            onFailure(new TargetFailure(Kind.CANCELLED, 0, "the daemon is stopping"));
            call.cancel();
            throw CallErrors.interrupted(false);
        } catch (ExecutionException e) {
            throw new IllegalStateException("an outcome never fails", e);
        }
    }

    private Outcome await(EngineClient.Call call) throws InterruptedException, ExecutionException {
        while (true) {
            long silence = mServices.settings().tokenTimeoutMillis() + SILENCE_MARGIN_MILLIS;
            long left = silence - (mServices.ticker().readMillis() - mLastMillis);
            long wait = Math.max(1, Math.min(left, mJob.remainingMillis()));
            try {
                Outcome outcome = mOutcome.get(wait, TimeUnit.MILLISECONDS);
                if (outcome.error() != null) {
                    call.cancel();
                }
                return outcome;
            } catch (TimeoutException e) {
                if (giveUp(silence)) {
                    call.cancel();
                    return mOutcome.get();
                }
            }
        }
    }

    /** Ends the attempt if its time is over; waits for a piece that is being delivered. */
    private synchronized boolean giveUp(long silenceMillis) {
        if (mJob.remainingMillis() <= 0) {
            onFailure(new TargetFailure(Kind.CANCELLED, 0, "the deadline has passed"));
            return true;
        }
        if (mServices.ticker().readMillis() - mLastMillis >= silenceMillis) {
            onFailure(new TargetFailure(Kind.TIMEOUT, 0, "no token in time"));
            return true;
        }
        return false;
    }

    @Override
    public synchronized void onToken(int index, String text) {
        if (mOutcome.isDone()) {
            return;
        }
        mLastMillis = mServices.ticker().readMillis();
        if (mFirstMillis < 0) {
            mFirstMillis = mLastMillis - mStartMillis;
        }
        try {
            mPieces.onPiece(index, text);
            mCount = Math.max(mCount, index + 1);
            // A slow reader may have held up the delivery, which is not the engine's silence.
            mLastMillis = mServices.ticker().readMillis();
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
        long total = mServices.ticker().readMillis() - mStartMillis;
        long first = mFirstMillis < 0 ? total : mFirstMillis;
        mOutcome.complete(new Outcome(finishReason, usage, failure, error, mCount, first, total));
    }
}
