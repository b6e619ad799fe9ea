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

/** The records of one plain call, and the delivery of its answer. Used by one worker thread. */
class PlainOutcomes {
    // Short answers are held back until they are recorded, so that the head states durability.
    private static final int HELD_BYTES = 64 * 1024;

    private final CallDependencies mServices;
    private final Recorder mRecorder;
    private final Job mJob;
    private final CallRequest mRequest;

    PlainOutcomes(CallDependencies services, Recorder recorder, Job job) {
        mServices = services;
        mRecorder = recorder;
        mJob = job;
        mRequest = job.request();
    }

    /** Starts the program if this is its first call. */
    void ensureStarted() {
        synchronized (mRecorder.lock(mRequest.program())) {
            List<LogRecord> records = startRecords();
            if (!records.isEmpty()) {
                // The record of the outcome follows in the log, and the answer waits for that.
                mRecorder.append(mRequest.program(), records);
            }
        }
    }

    private List<LogRecord> startRecords() {
        List<LogRecord> records = new ArrayList<>();
        if (mRecorder.find(mRequest.program()).isEmpty()) {
            records.add(Programs.started(mServices, mRequest, 0));
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
        long fence = mJob.fence(true);
        if (mServices.log().storeDown()) {
            throw CallErrors.storeUnavailable("the store does not accept the intent of the call");
        }
        AtomicLong committedNanos = new AtomicLong();
        CompletableFuture<Void> durable;
        synchronized (mRecorder.lock(mRequest.program())) {
            List<LogRecord> records = startRecords();
            records.add(
                    new LogRecord.IntentRecorded(
                            mRequest.program(), mRequest.request(), mJob.digest(), target, fence));
            durable = mRecorder.append(mRequest.program(), records);
        }
        CompletableFuture<Void> committed =
                durable.thenRun(() -> committedNanos.set(mServices.ticker().readNanos()));
        long wait = Math.min(mServices.settings().intentTimeoutMillis(), mJob.remainingMillis());
        if (!mRecorder.await(committed, Math.max(1, wait), true)) {
            HeathercourseException error =
                    CallErrors.storeUnavailable("the intent of the call was not durable in time");
            failed(error, false);
            throw error;
        }
        committed();
        long ageMillis = (mServices.ticker().readNanos() - committedNanos.get()) / 1_000_000;
        if (ageMillis > mServices.settings().maxDispatchDelayMillis()) {
            HeathercourseException error =
                    CallErrors.overloaded("the call was not dispatched in time after its intent");
            failed(error, false);
            throw error;
        }
        return fence;
    }

    /** Called between the commit of an intent and the check of its age; tests let time pass. */
    void committed() {
        // Nothing to do.
    }

    /** Records that the call ended without an answer. */
    void failed(HeathercourseException error, boolean mayHaveRun) {
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
        synchronized (mRecorder.lock(mRequest.program())) {
            durable = mRecorder.appendOutcome(mJob.key(), List.of(record));
        }
        if (mayHaveRun) {
            mRecorder.awaitDelivery(mRequest.program(), durable);
        }
    }

    /** Begins the delivery of an answer. */
    PlainRun.PlainAnswer begin(PlainClient.Response response, TargetId target) {
        return mRequest.ephemeral() ? new Passed(response) : new Recorded(response, target);
    }

    /** An answer that is passed on as it comes. */
    private final class Passed implements PlainRun.PlainAnswer {
        Passed(PlainClient.Response response) {
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

    /** An answer that is recorded; its last part is delivered after the record is durable. */
    private final class Recorded implements PlainRun.PlainAnswer {
        private final int mStatus;
        private final Map<String, List<String>> mHeaders;
        private final TargetId mTarget;
        private final String mType;
        private final ByteArrayOutputStream mWhole = new ByteArrayOutputStream();
        private byte[] mHeld = new byte[0];
        private boolean mHeadSent;

        Recorded(PlainClient.Response response, TargetId target) {
            mStatus = response.status();
            mHeaders = PlainHeaders.filterResponseHeaders(response.headers());
            mTarget = target;
            mType = PlainHeaders.contentType(mHeaders);
        }

        @Override
        public void append(byte[] bytes) {
            mWhole.writeBytes(bytes);
            boolean streaming = mType.startsWith("text/event-stream");
            if (!mHeadSent && (streaming || mWhole.size() > HELD_BYTES)) {
                mHeadSent = true;
                mJob.answer().head(mStatus, mHeaders);
                mHeld = mWhole.toByteArray();
            } else if (mHeadSent) {
                mJob.answer().append(mHeld);
                mHeld = bytes;
            }
        }

        @Override
        public void end() {
            String durability = mRecorder.awaitDelivery(mRequest.program(), record());
            if (!mHeadSent) {
                Map<String, List<String>> headers = new TreeMap<>(mHeaders);
                headers.put("X-Durability", List.of(durability));
                mJob.answer().head(mStatus, headers);
                mHeld = mWhole.toByteArray();
            }
            mJob.answer().append(mHeld);
            mJob.answer().end(durability);
        }

        private CompletableFuture<Void> record() {
            synchronized (mRecorder.lock(mRequest.program())) {
                ProgramState state =
                        mRecorder
                                .find(mRequest.program())
                                .orElseThrow(() -> CallErrors.ownershipLost(mJob.shard(), false));
                List<LogRecord> records = new ArrayList<>();
                records.add(
                        new LogRecord.CallCompleted(
                                mRequest.program(),
                                mRequest.request(),
                                mJob.digest(),
                                mStatus,
                                mType,
                                mWhole.toByteArray(),
                                List.of(),
                                0,
                                state.reservedTokens(),
                                mTarget));
                if (mRequest.oneCall()) {
                    records.add(new LogRecord.ProgramEnded(mRequest.program(), "completed"));
                }
                return mRecorder.appendOutcome(mJob.key(), records);
            }
        }
    }
}
