package org.heathercourse.daemon.call;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.platform.PlainClient;

/**
 * Records the intent and the outcome of one plain call and delivers its answer. Used by one worker
 * thread.
 */
class PlainCallRecorder {
    // Answers up to this size are delivered after they are recorded, so that their head can state
    // the durability.
    private static final int MAX_HELD_BYTES = 64 * 1024;

    private final CallDependencies mDependencies;
    private final ProgramRecorder mProgramRecorder;
    private final Job mJob;
    private final CallRequest mRequest;

    PlainCallRecorder(CallDependencies dependencies, ProgramRecorder recorder, Job job) {
        mDependencies = dependencies;
        mProgramRecorder = recorder;
        mJob = job;
        mRequest = job.request();
    }

    /** Records the start of the program if this is its first call. */
    void ensureProgramStarted() {
        synchronized (mProgramRecorder.lockFor(mRequest.program())) {
            List<LogRecord> records = programStartRecords();
            if (!records.isEmpty()) {
                // No wait: the outcome is logged after this record, and the answer waits for it.
                mProgramRecorder.append(mRequest.program(), records);
            }
        }
    }

    private List<LogRecord> programStartRecords() {
        List<LogRecord> records = new ArrayList<>();
        if (mProgramRecorder.find(mRequest.program()).isEmpty()) {
            records.add(Programs.startRecord(mDependencies, mRequest, 0));
        }
        return records;
    }

    /**
     * Records the intent and waits until it is durable. A call for which this method throws is
     * never dispatched.
     *
     * @return the fencing number of the intent
     */
    long commitIntent(TargetId target) {
        long fence = mJob.requireFence(true);
        if (mDependencies.log().storeDown()) {
            throw CallErrors.storeUnavailable("the store does not accept the intent of the call");
        }
        AtomicLong committedNanos = new AtomicLong();
        CompletableFuture<Void> durable;
        synchronized (mProgramRecorder.lockFor(mRequest.program())) {
            List<LogRecord> records = programStartRecords();
            records.add(
                    new LogRecord.IntentRecorded(
                            mRequest.program(), mRequest.request(), mJob.digest(), target, fence));
            durable = mProgramRecorder.append(mRequest.program(), records);
        }
        CompletableFuture<Void> committed =
                durable.thenRun(() -> committedNanos.set(mDependencies.ticker().readNanos()));
        long waitMillis =
                Math.min(mDependencies.settings().intentTimeoutMillis(), mJob.remainingMillis());
        if (!mProgramRecorder.awaitDurable(committed, Math.max(1, waitMillis), true)) {
            HeathercourseException error =
                    CallErrors.storeUnavailable("the intent of the call was not durable in time");
            recordFailed(error, false);
            throw error;
        }
        afterIntentCommit();
        long ageMillis = (mDependencies.ticker().readNanos() - committedNanos.get()) / 1_000_000;
        if (ageMillis > mDependencies.settings().maxDispatchDelayMillis()) {
            HeathercourseException error =
                    CallErrors.overloaded("the call was not dispatched in time after its intent");
            recordFailed(error, false);
            throw error;
        }
        return fence;
    }

    /**
     * Called between the commit of an intent and the check of its age; tests advance the clock
     * here.
     */
    void afterIntentCommit() {
        // Hook for tests.
    }

    /** Records that the call ended without an answer. */
    void recordFailed(HeathercourseException error, boolean mayHaveRun) {
        LogRecord.CallFailed record =
                new LogRecord.CallFailed(
                        mRequest.program(),
                        mRequest.request(),
                        mJob.digest(),
                        error.kind().wireName(),
                        error.getMessage(),
                        !mayHaveRun,
                        0);
        CompletableFuture<Void> durable;
        synchronized (mProgramRecorder.lockFor(mRequest.program())) {
            durable = mProgramRecorder.appendOutcome(mJob.key(), List.of(record));
        }
        if (mayHaveRun) {
            mProgramRecorder.awaitDeliverable(mRequest.program(), durable);
        }
    }

    /** Returns the receiver of the body of an answer. */
    PlainCallRunner.AnswerSink beginAnswer(PlainClient.Response response, TargetId target) {
        return mRequest.ephemeral()
                ? new PassThroughAnswer(response)
                : new RecordedAnswer(response, target);
    }

    /** Delivers an answer without recording it. */
    private final class PassThroughAnswer implements PlainCallRunner.AnswerSink {
        PassThroughAnswer(PlainClient.Response response) {
            mJob.answer()
                    .head(
                            response.status(),
                            PlainHeaders.filterResponseHeaders(response.headers()));
        }

        @Override
        public void append(byte[] bytes) {
            mJob.answer().append(bytes);
        }

        @Override
        public void end() {
            mJob.answer().end("none");
        }
    }

    /**
     * Delivers and records an answer; its last part is delivered after the record is durable or
     * copied.
     */
    private final class RecordedAnswer implements PlainCallRunner.AnswerSink {
        private final int mStatus;
        private final Map<String, List<String>> mHeaders;
        private final TargetId mTarget;
        private final String mContentType;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private byte[] mHeldBytes = new byte[0];
        private boolean mHeadSent;

        RecordedAnswer(PlainClient.Response response, TargetId target) {
            mStatus = response.status();
            mHeaders = PlainHeaders.filterResponseHeaders(response.headers());
            mTarget = target;
            mContentType = PlainHeaders.contentType(mHeaders);
        }

        @Override
        public void append(byte[] bytes) {
            mBody.writeBytes(bytes);
            boolean streaming = mContentType.startsWith("text/event-stream");
            if (!mHeadSent && (streaming || mBody.size() > MAX_HELD_BYTES)) {
                mHeadSent = true;
                mJob.answer().head(mStatus, mHeaders);
                mHeldBytes = mBody.toByteArray();
            } else if (mHeadSent) {
                mJob.answer().append(mHeldBytes);
                mHeldBytes = bytes;
            }
        }

        @Override
        public void end() {
            String durability =
                    mProgramRecorder.awaitDeliverable(mRequest.program(), recordCompleted());
            if (!mHeadSent) {
                Map<String, List<String>> headers = new TreeMap<>(mHeaders);
                headers.put("X-Durability", List.of(durability));
                mJob.answer().head(mStatus, headers);
                mHeldBytes = mBody.toByteArray();
            }
            mJob.answer().append(mHeldBytes);
            mJob.answer().end(durability);
        }

        private CompletableFuture<Void> recordCompleted() {
            synchronized (mProgramRecorder.lockFor(mRequest.program())) {
                ProgramState state =
                        mProgramRecorder
                                .find(mRequest.program())
                                .orElseThrow(() -> CallErrors.ownershipLost(mJob.shard(), false));
                List<LogRecord> records = new ArrayList<>();
                records.add(
                        new LogRecord.CallCompleted(
                                mRequest.program(),
                                mRequest.request(),
                                mJob.digest(),
                                mStatus,
                                mContentType,
                                mBody.toByteArray(),
                                List.of(),
                                0,
                                state.reservedTokens(),
                                mTarget));
                if (mRequest.oneCall()) {
                    records.add(new LogRecord.ProgramEnded(mRequest.program(), "completed"));
                }
                return mProgramRecorder.appendOutcome(mJob.key(), records);
            }
        }
    }
}
