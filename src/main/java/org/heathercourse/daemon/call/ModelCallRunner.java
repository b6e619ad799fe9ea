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
 * Runs one model call: makes attempts, delivers the answer and records the outcome. Used by one
 * worker thread; pieces arrive on threads of the engine client.
 */
final class ModelCallRunner implements EngineAttempt.PieceListener {
    private final CallDependencies mDependencies;
    private final ProgramRecorder mProgramRecorder;
    private final Job mJob;
    private final ChatCompletionRequest mChatRequest;
    private final ModelCallPlan mPlan;
    private final AttemptTracker mAttemptTracker;
    private final ChatFormat mFormat;
    private final EphemeralSessions mEphemeralSessions;
    private final ByteArrayOutputStream mAnswerBytes = new ByteArrayOutputStream();
    private final List<String> mPieces = new ArrayList<>();

    ModelCallRunner(
            CallDependencies dependencies,
            ProgramRecorder recorder,
            CircuitBreakers breakers,
            RetryBudget retryBudget,
            EphemeralSessions ephemeralSessions,
            Job job) {
        mDependencies = dependencies;
        mProgramRecorder = recorder;
        mJob = job;
        mEphemeralSessions = ephemeralSessions;
        mChatRequest = ChatCompletionRequest.parse(job.body());
        CallRequest request = job.request();
        mPlan =
                request.ephemeral()
                        ? ModelCallPlan.ephemeral(
                                dependencies.config().current(),
                                mChatRequest,
                                ephemeralSessions.newSessionName())
                        : ModelCallPlan.reserve(dependencies, recorder, job, mChatRequest);
        mAttemptTracker =
                new AttemptTracker(
                        dependencies, breakers, retryBudget, job, buildSelectionRequest(request));
        String id = request.ephemeral() ? mPlan.session() : job.digest().substring(0, 24);
        mFormat = new ChatFormat(id, mChatRequest.model(), request.createdSeconds());
    }

    private TargetSelector.Request buildSelectionRequest(CallRequest request) {
        return new TargetSelector.Request(
                mPlan.service().service(),
                mChatRequest.model(),
                request.oneCall() ? null : request.program(),
                mPlan.session(),
                request.workspace(),
                request.requestClass(),
                mPlan.promptTokens(),
                mPlan.maxTokens(),
                mPlan.spentTokens(),
                mJob.remainingMillis(),
                Set.of());
    }

    /**
     * Runs the call to its end.
     *
     * @throws HeathercourseException the error for the caller if there is no answer
     */
    void run() {
        Choice choice = null;
        try {
            choice = mAttemptTracker.selectTarget();
            Outcome outcome = runAttempt(choice, 0);
            boolean resumeAttempted = false;
            while (outcome.failure() != null) {
                if (!mAttemptTracker.awaitBackoff()) {
                    throw toCallError(outcome.failure());
                }
                // The engine may still hold the generated pieces, so resuming there is tried first.
                boolean resume = !resumeAttempted && pieceCount() > 0;
                resumeAttempted = true;
                if (!resume) {
                    choice = selectForRestart(choice);
                }
                outcome = runAttempt(choice, resume ? pieceCount() : 0);
            }
            completeAnswer(choice, outcome);
        } catch (HeathercourseException e) {
            recordFailure(choice, e);
            throw e;
        } finally {
            if (mJob.request().ephemeral() && choice != null) {
                mEphemeralSessions.release(choice.target(), mPlan.session());
            }
        }
    }

    private Choice selectForRestart(Choice failedChoice) {
        if (mJob.request().ephemeral()) {
            mEphemeralSessions.release(failedChoice.target(), mPlan.session());
        }
        if (!mChatRequest.stream()) {
            synchronized (mPieces) {
                mPieces.clear();
            }
        }
        return mAttemptTracker.selectTarget();
    }

    private Outcome runAttempt(Choice choice, int resumeFrom) {
        long fence = mAttemptTracker.beginAttempt(choice);
        GenerateRequest request =
                new GenerateRequest(
                        mChatRequest.model(),
                        mPlan.messages(),
                        mPlan.maxTokens(),
                        mPlan.session(),
                        callId(),
                        resumeFrom,
                        choice.priority(),
                        fence,
                        Math.min(
                                mDependencies.settings().tokenTimeoutMillis(),
                                mJob.remainingMillis()),
                        mChatRequest.extraJson());
        EngineAttempt attempt = new EngineAttempt(mDependencies, mJob, this);
        Outcome outcome = attempt.run(AttemptTracker.addressOf(choice), request);
        if (outcome.failure() == null) {
            mAttemptTracker.onSucceeded(
                    choice, outcome.usage(), outcome.firstPieceMillis(), outcome.totalMillis());
        } else {
            mAttemptTracker.onFailed(choice, outcome.failure());
        }
        if (outcome.error() != null) {
            throw outcome.error();
        }
        if (outcome.failure() == null && outcome.pieceCount() < pieceCount()) {
            throw answerDiffers();
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
        boolean firstPiece;
        synchronized (mPieces) {
            if (index < mPieces.size()) {
                if (!mPieces.get(index).equals(text)) {
                    throw answerDiffers();
                }
                return;
            }
            if (index > mPieces.size()) {
                throw CallErrors.targetFailed(
                        "the engine sent piece " + index + ", expected piece " + mPieces.size(),
                        false);
            }
            firstPiece = mPieces.isEmpty();
            mPieces.add(text);
        }
        if (mChatRequest.stream()) {
            if (firstPiece) {
                mJob.answer().head(200, Map.of("Content-Type", List.of("text/event-stream")));
                publish(mFormat.firstEvent());
            }
            publish(mFormat.pieceEvent(text));
        }
    }

    private void publish(byte[] bytes) {
        mAnswerBytes.writeBytes(bytes);
        mJob.answer().append(bytes);
    }

    private static HeathercourseException answerDiffers() {
        return CallErrors.targetFailed(
                "the restarted answer differs from the part already delivered", false);
    }

    private HeathercourseException toCallError(TargetFailure failure) {
        if (mJob.remainingMillis() <= 0) {
            return CallErrors.deadlineExceeded(!mAttemptTracker.mayHaveRun());
        }
        String message = "the engine failed: " + failure.kind() + " " + failure.message();
        return CallErrors.targetFailed(message, !mAttemptTracker.mayHaveRun());
    }

    // Completion

    private void completeAnswer(Choice choice, Outcome outcome) {
        String text = String.join("", mPieces);
        AnswerBuffer answer = mJob.answer();
        byte[] finalBytes;
        String contentType;
        if (mChatRequest.stream()) {
            contentType = "text/event-stream";
            if (mPieces.isEmpty()) {
                answer.head(200, Map.of("Content-Type", List.of(contentType)));
                publish(mFormat.firstEvent());
            }
            finalBytes =
                    mFormat.finalEvents(
                            outcome.finishReason(), outcome.usage(), mChatRequest.includeUsage());
        } else {
            contentType = "application/json";
            finalBytes = mFormat.completion(text, outcome.finishReason(), outcome.usage());
        }
        mAnswerBytes.writeBytes(finalBytes);
        String durability = "none";
        if (!mJob.request().ephemeral()) {
            durability =
                    mProgramRecorder.awaitDeliverable(
                            mJob.request().program(),
                            recordCompleted(choice, outcome, contentType, text));
        }
        if (!mChatRequest.stream()) {
            answer.head(
                    200,
                    Map.of(
                            "Content-Type",
                            List.of(contentType),
                            "X-Durability",
                            List.of(durability)));
        }
        answer.append(finalBytes);
        answer.end(durability);
    }

    private CompletableFuture<Void> recordCompleted(
            Choice choice, Outcome outcome, String contentType, String text) {
        CallRequest request = mJob.request();
        long costTokens = outcome.usage().totalTokens();
        List<ChatMessage> addedMessages = new ArrayList<>(mPlan.addedMessages());
        if (!request.oneCall()) {
            addedMessages.add(new ChatMessage("assistant", text));
        }
        TargetId target = choice.target().target();
        synchronized (mProgramRecorder.lockFor(request.program())) {
            ProgramState state = requireProgramState(request);
            long remainingTokens =
                    Math.max(0, state.budgetTokens() - state.spentTokens() - costTokens);
            long nextCallTokens =
                    costTokens + ChatCompletionRequest.countWords(text) + mPlan.maxTokens();
            List<LogRecord> records = new ArrayList<>();
            records.add(
                    new LogRecord.CallCompleted(
                            request.program(),
                            request.request(),
                            mJob.digest(),
                            200,
                            contentType,
                            mAnswerBytes.toByteArray(),
                            addedMessages,
                            costTokens,
                            request.oneCall() ? 0 : Math.min(remainingTokens, nextCallTokens),
                            target));
            addOwedRelease(state, target, records);
            if (request.oneCall()) {
                records.add(new LogRecord.ProgramEnded(request.program(), "completed"));
            }
            return mProgramRecorder.appendOutcome(mJob.key(), records);
        }
    }

    private ProgramState requireProgramState(CallRequest request) {
        return mProgramRecorder
                .find(request.program())
                .orElseThrow(() -> CallErrors.ownershipLost(mJob.shard(), false));
    }

    private static void addOwedRelease(
            ProgramState state, TargetId target, List<LogRecord> records) {
        if (!state.cacheTargets().contains(target)) {
            records.add(new LogRecord.CacheReleaseOwed(state.program(), target));
        }
    }

    /** Records a failure after which a target may hold cache or has generated tokens. */
    private void recordFailure(Choice choice, HeathercourseException error) {
        CallRequest request = mJob.request();
        if (request.ephemeral()
                || choice == null
                || !mAttemptTracker.mayHaveRun()
                || error.kind() == ErrorKind.OWNERSHIP_LOST
                || error.kind() == ErrorKind.DRAINING) {
            return;
        }
        synchronized (mProgramRecorder.lockFor(request.program())) {
            ProgramState state = mProgramRecorder.find(request.program()).orElse(null);
            if (state == null) {
                return;
            }
            long costTokens = pieceCount() == 0 ? 0 : mPlan.promptTokens() + pieceCount();
            List<LogRecord> records = new ArrayList<>();
            records.add(
                    new LogRecord.CallFailed(
                            request.program(),
                            request.request(),
                            mJob.digest(),
                            error.kind().wireName(),
                            error.getMessage(),
                            false,
                            costTokens));
            addOwedRelease(state, choice.target().target(), records);
            mProgramRecorder.appendOutcome(mJob.key(), records);
        }
    }
}
