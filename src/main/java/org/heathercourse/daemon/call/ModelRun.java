package org.heathercourse.daemon.call;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;
import org.heathercourse.daemon.call.EngineAttempt.Outcome;
import org.heathercourse.daemon.call.TargetSelector.Choice;
import org.heathercourse.platform.EngineClient.GenerateRequest;
import org.heathercourse.platform.TargetFailure;

/**
 * Runs one model call: attempts, the answer towards the caller, and its record. Used by one worker
 * thread; pieces arrive on threads of the engine client.
 */
final class ModelRun implements EngineAttempt.Pieces {
    private final CallDependencies mServices;
    private final Recorder mRecorder;
    private final Job mJob;
    private final ChatCompletionRequest mChat;
    private final ModelPlan mPlan;
    private final Attempts mAttempts;
    private final ChatFormat mFormat;
    private final EphemeralSessions mSessions;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final List<String> mPieces = new ArrayList<>();

    ModelRun(
            CallDependencies services,
            Recorder recorder,
            Breakers breakers,
            RetryBudget retryBudget,
            EphemeralSessions sessions,
            Job job) {
        mServices = services;
        mRecorder = recorder;
        mJob = job;
        mSessions = sessions;
        mChat = ChatCompletionRequest.parse(job.body());
        CallRequest request = job.request();
        mPlan =
                request.ephemeral()
                        ? ModelPlan.ephemeral(
                                services.config().current(), mChat, sessions.newName())
                        : ModelPlan.reserve(services, recorder, job, mChat);
        mAttempts = new Attempts(services, breakers, retryBudget, job, selection(request));
        String id = request.ephemeral() ? mPlan.session() : job.digest().substring(0, 24);
        mFormat = new ChatFormat(id, mChat.model(), request.createdSeconds());
    }

    private TargetSelector.Request selection(CallRequest request) {
        return new TargetSelector.Request(
                mPlan.service().service(),
                mChat.model(),
                request.oneCall() ? null : request.program(),
                mPlan.session(),
                request.workspace(),
                request.requestClass(),
                mPlan.promptTokens(),
                mPlan.maxTokens(),
                mPlan.attainedTokens(),
                mJob.remainingMillis(),
                Set.of());
    }

    /** Runs the call to its end; throws what the caller has to be told if there is no answer. */
    void run() {
        Choice choice = null;
        try {
            choice = mAttempts.choose();
            Outcome outcome = attempt(choice, 0);
            boolean resumed = false;
            while (outcome.failure() != null) {
                if (!mAttempts.retryAfterPause()) {
                    throw failure(outcome.failure());
                }
                // The engine may still hold what it generated, so it is asked first.
                boolean resume = !resumed && pieceCount() > 0;
                resumed = true;
                if (!resume) {
                    choice = restart(choice);
                }
                outcome = attempt(choice, resume ? pieceCount() : 0);
            }
            finish(choice, outcome);
        } catch (HeathercourseException e) {
            recordFailure(choice, e);
            throw e;
        } finally {
            if (mJob.request().ephemeral() && choice != null) {
                mSessions.release(choice.target(), mPlan.session());
            }
        }
    }

    private Choice restart(Choice last) {
        if (mJob.request().ephemeral()) {
            mSessions.release(last.target(), mPlan.session());
        }
        if (!mChat.stream()) {
            synchronized (mPieces) {
                mPieces.clear();
            }
        }
        return mAttempts.choose();
    }

    private Outcome attempt(Choice choice, int resumeFrom) {
        long fence = mAttempts.begin(choice);
        GenerateRequest request =
                new GenerateRequest(
                        mChat.model(),
                        mPlan.messages(),
                        mPlan.maxTokens(),
                        mPlan.session(),
                        callId(),
                        resumeFrom,
                        choice.priority(),
                        fence,
                        Math.min(mServices.settings().tokenTimeoutMillis(), mJob.remainingMillis()),
                        mChat.extraJson());
        EngineAttempt attempt = new EngineAttempt(mServices, mJob, this);
        Outcome outcome = attempt.run(Attempts.address(choice), request);
        if (outcome.failure() == null) {
            mAttempts.succeeded(
                    choice, outcome.usage(), outcome.firstMillis(), outcome.totalMillis());
        } else {
            mAttempts.failed(choice, outcome.failure());
        }
        if (outcome.error() != null) {
            throw outcome.error();
        }
        if (outcome.failure() == null && outcome.pieces() < pieceCount()) {
            throw differs();
        }
        return outcome;
    }

    private String callId() {
        CallRequest request = mJob.request();
        return request.ephemeral() ? mPlan.session() : request.program() + "/" + request.request();
    }

    private int pieceCount() {
        synchronized (mPieces) {
            return mPieces.size();
        }
    }

    @Override
    public void onPiece(int index, String text) {
        boolean first;
        synchronized (mPieces) {
            if (index < mPieces.size()) {
                if (!mPieces.get(index).equals(text)) {
                    throw differs();
                }
                return;
            }
            if (index > mPieces.size()) {
                throw CallErrors.targetFailed(
                        "piece " + index + " came where " + mPieces.size() + " was expected",
                        false);
            }
            first = mPieces.isEmpty();
            mPieces.add(text);
        }
        if (mChat.stream()) {
            if (first) {
                mJob.answer().head(200, Map.of("Content-Type", List.of("text/event-stream")));
                publish(mFormat.first());
            }
            publish(mFormat.piece(text));
        }
    }

    private void publish(byte[] bytes) {
        mBytes.writeBytes(bytes);
        mJob.answer().append(bytes);
    }

    private static HeathercourseException differs() {
        return CallErrors.targetFailed(
                "the restarted answer differs from the part already delivered", false);
    }

    private HeathercourseException failure(TargetFailure failure) {
        if (mJob.remainingMillis() <= 0) {
            return CallErrors.deadline(!mAttempts.mayHaveRun());
        }
        String message = "the engine failed: " + failure.kind() + " " + failure.message();
        return CallErrors.targetFailed(message, !mAttempts.mayHaveRun());
    }

    // The end of the call

    private void finish(Choice choice, Outcome outcome) {
        String text = String.join("", mPieces);
        AnswerBuffer answer = mJob.answer();
        byte[] last;
        String type;
        if (mChat.stream()) {
            type = "text/event-stream";
            if (mPieces.isEmpty()) {
                answer.head(200, Map.of("Content-Type", List.of(type)));
                publish(mFormat.first());
            }
            last = mFormat.last(outcome.finishReason(), outcome.usage(), mChat.includeUsage());
        } else {
            type = "application/json";
            last = mFormat.whole(text, outcome.finishReason(), outcome.usage());
        }
        mBytes.writeBytes(last);
        String durability = "none";
        if (!mJob.request().ephemeral()) {
            durability =
                    mRecorder.awaitDelivery(
                            mJob.request().program(), record(choice, outcome, type, text));
        }
        if (!mChat.stream()) {
            answer.head(
                    200,
                    Map.of("Content-Type", List.of(type), "X-Durability", List.of(durability)));
        }
        answer.append(last);
        answer.end(durability);
    }

    private CompletableFuture<Void> record(
            Choice choice, Outcome outcome, String type, String text) {
        CallRequest request = mJob.request();
        long cost = outcome.usage().totalTokens();
        List<ChatMessage> added = new ArrayList<>(mPlan.added());
        if (!request.oneCall()) {
            added.add(new ChatMessage("assistant", text));
        }
        TargetId target = choice.target().target();
        synchronized (mRecorder.lock(request.program())) {
            ProgramState state = state(request);
            long left = Math.max(0, state.budgetTokens() - state.spentTokens() - cost);
            long next = cost + ChatCompletionRequest.words(text) + mPlan.maxTokens();
            List<LogRecord> records = new ArrayList<>();
            records.add(
                    new LogRecord.CallCompleted(
                            request.program(),
                            request.request(),
                            mJob.digest(),
                            200,
                            type,
                            mBytes.toByteArray(),
                            added,
                            cost,
                            request.oneCall() ? 0 : Math.min(left, next),
                            target));
            addReleaseOwed(state, target, records);
            if (request.oneCall()) {
                records.add(new LogRecord.ProgramEnded(request.program(), "completed"));
            }
            return mRecorder.appendOutcome(mJob.key(), records);
        }
    }

    private ProgramState state(CallRequest request) {
        return mRecorder
                .find(request.program())
                .orElseThrow(() -> CallErrors.ownershipLost(mJob.shard(), false));
    }

    private static void addReleaseOwed(
            ProgramState state, TargetId target, List<LogRecord> records) {
        if (!state.cacheTargets().contains(target)) {
            records.add(new LogRecord.CacheReleaseOwed(state.program(), target));
        }
    }

    /** Records a failure after which some target may hold cache or has generated tokens. */
    private void recordFailure(Choice choice, HeathercourseException error) {
        CallRequest request = mJob.request();
        if (request.ephemeral()
                || choice == null
                || !mAttempts.mayHaveRun()
                || error.kind() == ErrorKind.OWNERSHIP_LOST
                || error.kind() == ErrorKind.DRAINING) {
            return;
        }
        synchronized (mRecorder.lock(request.program())) {
            ProgramState state = mRecorder.find(request.program()).orElse(null);
            if (state == null) {
                return;
            }
            long cost = pieceCount() == 0 ? 0 : mPlan.promptTokens() + pieceCount();
            List<LogRecord> records = new ArrayList<>();
            records.add(
                    new LogRecord.CallFailed(
                            request.program(),
                            request.request(),
                            mJob.digest(),
                            error.kind().wireName(),
                            error.getMessage(),
                            false,
                            cost));
            addReleaseOwed(state, choice.target().target(), records);
            mRecorder.appendOutcome(mJob.key(), records);
        }
    }
}
