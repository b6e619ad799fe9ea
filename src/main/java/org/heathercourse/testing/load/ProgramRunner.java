package org.heathercourse.testing.load;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.testing.load.LoadCounters.Counter;

/**
 * Runs programs of a trace: retries a request with the same idempotency key after a broken
 * connection or a temporary error, and checks that each answer is complete and belongs to its
 * program.
 *
 * <p>Thread-safe.
 */
public final class ProgramRunner {
    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private final CallerClient mClient;
    private final LoadCounters mCounters;
    private final Ticker mTicker;
    private final Executor mAgents;
    private final String mModel;
    private final String mService;
    private final long mRequestTimeoutMillis;

    private ProgramRunner(Builder builder) {
        mClient = builder.mClient;
        mCounters = builder.mCounters;
        mTicker = builder.mTicker;
        mAgents = builder.mAgents;
        mModel = builder.mModel;
        mService = builder.mService;
        mRequestTimeoutMillis = builder.mRequestTimeoutMillis;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Runs a program and ends it.
     *
     * @param program the program
     * @param key key of its workspace
     * @return whether all steps and the end of the program succeeded
     */
    public boolean run(TraceProgram program, String key) {
        mCounters.add(Counter.PROGRAMS);
        ProgramRun run = new ProgramRun(program, key, null);
        boolean succeeded = run.runProgram();
        mCounters.add(succeeded ? Counter.COMPLETED : Counter.FAILED_PROGRAMS);
        if (succeeded && run.mConnectionBroken) {
            mCounters.add(Counter.RECOVERED_PROGRAMS);
        }
        return succeeded;
    }

    /** A running program or sub-agent. Confined to one thread. */
    private final class ProgramRun {
        private final TraceProgram mProgram;
        private final String mKey;
        private final String mParent;
        private final List<ObjectNode> mMessages = new ArrayList<>();
        private int mTurn;
        private int mStepIndex;
        private boolean mConnectionBroken;

        private ProgramRun(TraceProgram program, String key, String parent) {
            mProgram = program;
            mKey = key;
            mParent = parent;
        }

        private boolean runProgram() {
            boolean succeeded = startProgram();
            for (TraceStep step : mProgram.steps()) {
                succeeded = succeeded && runStep(step);
                mStepIndex++;
            }
            String path = "/v1/programs/" + mProgram.program();
            return sendWithRetries("end", true, id -> mClient.send("DELETE", path, mKey, null))
                            .isRight()
                    && succeeded;
        }

        private boolean startProgram() {
            ObjectNode body = CallerClient.object();
            body.put("program", mProgram.program());
            body.put("budget_tokens", mProgram.budgetTokens());
            if (mParent != null) {
                body.put("parent", mParent);
            }
            return sendWithRetries(
                            "start",
                            true,
                            id -> mClient.send("POST", "/v1/programs", mKey, body.toString()))
                    .isRight();
        }

        private boolean runStep(TraceStep step) {
            if (step.pauseMillis() != null) {
                Pauses.pause(step.pauseMillis());
                return true;
            }
            if (step.agents() != null) {
                return runAgents(step.agents());
            }
            boolean succeeded =
                    step.chat() != null ? callModel(step.chat()) : callService(step.call());
            if (succeeded) {
                mCounters.add(Counter.TURNS);
            }
            return succeeded;
        }

        private boolean runAgents(List<TraceStep.Agent> agents) {
            List<CompletableFuture<Boolean>> running = new ArrayList<>();
            long budget = mProgram.budgetTokens() / (4L * agents.size());
            for (int i = 0; i < agents.size(); i++) {
                String name = mProgram.program() + "." + mStepIndex + "." + i;
                TraceProgram child = mProgram.child(name, budget, agents.get(i));
                Supplier<Boolean> work =
                        () -> new ProgramRun(child, mKey, mProgram.program()).runProgram();
                running.add(CompletableFuture.supplyAsync(work, mAgents));
            }
            return running.stream().allMatch(CompletableFuture::join);
        }

        private boolean callModel(TraceStep.Chat chat) {
            ObjectNode message = CallerClient.object().put("role", "user");
            message.put("content", prompt(chat));
            mMessages.add(message);
            boolean append = "append".equals(mProgram.history());
            ObjectNode body = CallerClient.object().put("model", mModel).put("stream", true);
            body.put("max_tokens", chat.out() + 16);
            ArrayNode messages = body.putArray("messages");
            if (append) {
                messages.add(message);
            } else {
                mMessages.forEach(messages::add);
            }
            Either<CallFailure, CallerClient.Answer> answer =
                    sendWithRetries(
                            "turn-" + mTurn,
                            true,
                            id ->
                                    mClient.send(
                                            "POST",
                                            "/v1/chat/completions",
                                            mKey,
                                            body.toString(),
                                            headers(id, append ? "append" : "full")));
            if (answer.isLeft()) {
                return false;
            }
            checkAnswer(answer.get(), chat);
            ObjectNode reply = CallerClient.object().put("role", "assistant");
            mMessages.add(reply.put("content", answer.get().text()));
            mTurn++;
            return true;
        }

        private String prompt(TraceStep.Chat chat) {
            StringBuilder text = new StringBuilder();
            text.append("[[program=").append(mProgram.program()).append(" turn=").append(mTurn);
            text.append(" budget=").append(mProgram.budgetTokens());
            text.append(" out=").append(chat.out()).append("]]");
            for (int i = 0; i < chat.words(); i++) {
                text.append(" w").append(mTurn).append('x').append(i);
            }
            return text.toString();
        }

        private void checkAnswer(CallerClient.Answer answer, TraceStep.Chat chat) {
            String expected = "[[answer program=" + mProgram.program() + " turn=" + mTurn + " ";
            if (!answer.text().startsWith(expected)) {
                mCounters.add(Counter.CROSSED_ANSWERS);
                return;
            }
            String filler = answer.text().substring(answer.text().indexOf("]]") + 2).trim();
            int words = filler.isEmpty() ? 0 : filler.split("\\s+").length;
            if (words != chat.out()) {
                mCounters.add(Counter.TRUNCATED_ANSWERS);
            }
        }

        private boolean callService(TraceStep.Call call) {
            boolean retryable = call.method().equals("GET");
            Either<CallFailure, CallerClient.Answer> answer =
                    sendWithRetries(
                            "call-" + mStepIndex,
                            retryable,
                            id ->
                                    mClient.send(
                                            call.method(),
                                            "/v1/services/" + mService + call.path(),
                                            mKey,
                                            retryable ? null : "{\"step\":" + mStepIndex + "}",
                                            headers(id, "full")));
            if (answer.isRight()) {
                String ownProgramId = "\"program_id\":\"" + mProgram.program() + "\"";
                if (!answer.get().text().contains(ownProgramId)) {
                    mCounters.add(Counter.CROSSED_ANSWERS);
                }
                return true;
            }
            // A call with an unknown outcome must not be retried; the program continues without
            // its answer.
            return !retryable && answer.getLeft().kind().equals("outcome_unknown");
        }

        private String[] headers(String requestId, String history) {
            return new String[] {
                "X-Program-Id",
                mProgram.program(),
                "Idempotency-Key",
                requestId,
                "X-Request-Class",
                mProgram.requestClass(),
                "X-Program-History",
                history
            };
        }

        private Either<CallFailure, CallerClient.Answer> sendWithRetries(
                String firstId,
                boolean retryable,
                Function<String, Either<CallFailure, CallerClient.Answer>> attempt) {
            mCounters.add(Counter.REQUESTS);
            long endMillis = mTicker.readMillis() + mRequestTimeoutMillis;
            long backoffMillis = FIRST_BACKOFF_MILLIS;
            int identitySuffix = 0;
            while (true) {
                String id = identitySuffix == 0 ? firstId : firstId + "-r" + identitySuffix;
                Either<CallFailure, CallerClient.Answer> result = attempt.apply(id);
                if (result.isRight()) {
                    if (result.get().durability().equals("pending")) {
                        mCounters.add(Counter.PENDING_ANSWERS);
                    }
                    return result;
                }
                CallFailure failure = result.getLeft();
                countFailure(failure);
                boolean programLost =
                        failure.kind().equals("unknown_program")
                                || failure.kind().equals("program_ended");
                if (programLost) {
                    mCounters.add(Counter.LOST_PROGRAMS);
                }
                boolean retry = failure.isTemporary() || (retryable && !programLost);
                if (mTicker.readMillis() >= endMillis || !retry) {
                    System.err.println(
                            "event=request_failed program="
                                    + mProgram.program()
                                    + " request="
                                    + id
                                    + " failure="
                                    + failure);
                    return result;
                }
                if (!failure.isTemporary()) {
                    System.err.println(
                            "event=request_retried_with_new_key program="
                                    + mProgram.program()
                                    + " request="
                                    + id
                                    + " failure="
                                    + failure);
                    // A recorded failure is final for its idempotency key; a new key runs the
                    // request again.
                    identitySuffix++;
                }
                mCounters.add(Counter.RETRIES);
                Pauses.pause(Math.max(backoffMillis, Math.min(1_000, failure.retryAfterMillis())));
                backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
            }
        }

        private void countFailure(CallFailure failure) {
            if (failure.kind().equals("connection")) {
                mConnectionBroken = true;
                mCounters.add(Counter.BROKEN_REQUESTS);
            }
            if (failure.kind().equals("outcome_unknown")) {
                mCounters.add(Counter.UNKNOWN_OUTCOMES);
            }
            if (failure.notRun()) {
                mCounters.add(Counter.REFUSED_NOT_RUN);
            }
        }
    }

    /** Builds a {@link ProgramRunner}. Not thread-safe. */
    public static final class Builder {
        private CallerClient mClient;
        private LoadCounters mCounters = new LoadCounters();
        private Ticker mTicker = Ticker.system();
        private Executor mAgents;
        private String mModel = "planner-large";
        private String mService = "works";
        private long mRequestTimeoutMillis = 60_000;

        private Builder() {}

        /** Sets the client that sends requests. */
        public Builder client(CallerClient client) {
            mClient = client;
            return this;
        }

        /** Sets the counters for results. */
        public Builder counters(LoadCounters counters) {
            mCounters = counters;
            return this;
        }

        /** Sets the executor that runs sub-agents. */
        public Builder agents(Executor agents) {
            mAgents = agents;
            return this;
        }

        /** Sets the model to call. */
        public Builder model(String model) {
            mModel = model;
            return this;
        }

        /** Sets the plain service to call. */
        public Builder service(String service) {
            mService = service;
            return this;
        }

        /** Sets the time after which a request is no longer retried, in milliseconds. */
        public Builder requestTimeoutMillis(long requestTimeoutMillis) {
            mRequestTimeoutMillis = requestTimeoutMillis;
            return this;
        }

        /** Creates the runner from the current values. */
        public ProgramRunner build() {
            return new ProgramRunner(this);
        }
    }
}
