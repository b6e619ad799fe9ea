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
 * Runs programs as a careful caller does: repeats a request with the same identity after a broken
 * connection or a temporary refusal, and checks that each answer is whole and its own.
 *
 * <p>Safe for use by several threads.
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
    private final long mPatienceMillis;

    private ProgramRunner(Builder builder) {
        mClient = builder.mClient;
        mCounters = builder.mCounters;
        mTicker = builder.mTicker;
        mAgents = builder.mAgents;
        mModel = builder.mModel;
        mService = builder.mService;
        mPatienceMillis = builder.mPatienceMillis;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Runs a program to its end.
     *
     * @param program the program
     * @param key key of its workspace
     * @return whether all its steps were answered
     */
    public boolean run(TraceProgram program, String key) {
        mCounters.add(Counter.PROGRAMS);
        Run run = new Run(program, key, null);
        boolean done = run.play();
        mCounters.add(done ? Counter.COMPLETED : Counter.FAILED_PROGRAMS);
        if (done && run.mBroken) {
            mCounters.add(Counter.RECOVERED_PROGRAMS);
        }
        return done;
    }

    /** One program under way. Confined to one thread. */
    private final class Run {
        private final TraceProgram mProgram;
        private final String mKey;
        private final String mParent;
        private final List<ObjectNode> mMessages = new ArrayList<>();
        private int mTurn;
        private int mStep;
        private boolean mBroken;

        private Run(TraceProgram program, String key, String parent) {
            mProgram = program;
            mKey = key;
            mParent = parent;
        }

        private boolean play() {
            boolean done = start();
            for (TraceStep step : mProgram.steps()) {
                done = done && play(step);
                mStep++;
            }
            String path = "/v1/programs/" + mProgram.program();
            return request("end", true, id -> mClient.send("DELETE", path, mKey, null)).isRight()
                    && done;
        }

        private boolean start() {
            ObjectNode body = CallerClient.object();
            body.put("program", mProgram.program());
            body.put("budget_tokens", mProgram.budgetTokens());
            if (mParent != null) {
                body.put("parent", mParent);
            }
            return request(
                            "start",
                            true,
                            id -> mClient.send("POST", "/v1/programs", mKey, body.toString()))
                    .isRight();
        }

        private boolean play(TraceStep step) {
            if (step.pauseMillis() != null) {
                Pauses.pause(step.pauseMillis());
                return true;
            }
            if (step.agents() != null) {
                return playAgents(step.agents());
            }
            boolean done = step.chat() != null ? chat(step.chat()) : call(step.call());
            if (done) {
                mCounters.add(Counter.TURNS);
            }
            return done;
        }

        private boolean playAgents(List<TraceStep.Agent> agents) {
            List<CompletableFuture<Boolean>> running = new ArrayList<>();
            long budget = mProgram.budgetTokens() / (4L * agents.size());
            for (int i = 0; i < agents.size(); i++) {
                String name = mProgram.program() + "." + mStep + "." + i;
                TraceProgram child = mProgram.child(name, budget, agents.get(i));
                Supplier<Boolean> work = () -> new Run(child, mKey, mProgram.program()).play();
                running.add(CompletableFuture.supplyAsync(work, mAgents));
            }
            return running.stream().allMatch(CompletableFuture::join);
        }

        private boolean chat(TraceStep.Chat chat) {
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
                    request(
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
            check(answer.get(), chat);
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

        private void check(CallerClient.Answer answer, TraceStep.Chat chat) {
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

        private boolean call(TraceStep.Call call) {
            boolean repeatable = call.method().equals("GET");
            Either<CallFailure, CallerClient.Answer> answer =
                    request(
                            "call-" + mStep,
                            repeatable,
                            id ->
                                    mClient.send(
                                            call.method(),
                                            "/v1/services/" + mService + call.path(),
                                            mKey,
                                            repeatable ? null : "{\"step\":" + mStep + "}",
                                            headers(id, "full")));
            if (answer.isRight()) {
                String own = "\"program_id\":\"" + mProgram.program() + "\"";
                if (!answer.get().text().contains(own)) {
                    mCounters.add(Counter.CROSSED_ANSWERS);
                }
                return true;
            }
            // An unknown outcome is a truthful answer: the program goes on without a repeat.
            return !repeatable && answer.getLeft().kind().equals("outcome_unknown");
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

        private Either<CallFailure, CallerClient.Answer> request(
                String name,
                boolean repeatable,
                Function<String, Either<CallFailure, CallerClient.Answer>> attempt) {
            mCounters.add(Counter.REQUESTS);
            long end = mTicker.readMillis() + mPatienceMillis;
            long backoff = FIRST_BACKOFF_MILLIS;
            int generation = 0;
            while (true) {
                String id = generation == 0 ? name : name + "-r" + generation;
                Either<CallFailure, CallerClient.Answer> result = attempt.apply(id);
                if (result.isRight()) {
                    if (result.get().durability().equals("pending")) {
                        mCounters.add(Counter.PENDING_ANSWERS);
                    }
                    return result;
                }
                CallFailure failure = result.getLeft();
                count(failure);
                boolean gone =
                        failure.kind().equals("unknown_program")
                                || failure.kind().equals("program_ended");
                if (gone) {
                    mCounters.add(Counter.LOST_PROGRAMS);
                }
                boolean again = failure.temporary() || (repeatable && !gone);
                if (mTicker.readMillis() >= end || !again) {
                    System.err.println(
                            "program " + mProgram.program() + " gave up " + id + ": " + failure);
                    return result;
                }
                if (!failure.temporary()) {
                    System.err.println(
                            "program " + mProgram.program() + " repeats " + id + ": " + failure);
                    // The recorded failure of this identity is final; a new identity runs anew.
                    generation++;
                }
                mCounters.add(Counter.RETRIES);
                Pauses.pause(Math.max(backoff, Math.min(1_000, failure.retryAfterMillis())));
                backoff = Math.min(MAX_BACKOFF_MILLIS, 2 * backoff);
            }
        }

        private void count(CallFailure failure) {
            if (failure.kind().equals("connection")) {
                mBroken = true;
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

    /** Collects the parts of a {@link ProgramRunner}. Not safe for several threads. */
    public static final class Builder {
        private CallerClient mClient;
        private LoadCounters mCounters = new LoadCounters();
        private Ticker mTicker = Ticker.system();
        private Executor mAgents;
        private String mModel = "planner-large";
        private String mService = "works";
        private long mPatienceMillis = 60_000;

        private Builder() {}

        /** Sets the client. */
        public Builder client(CallerClient client) {
            mClient = client;
            return this;
        }

        /** Sets where results are counted. */
        public Builder counters(LoadCounters counters) {
            mCounters = counters;
            return this;
        }

        /** Sets what runs sub-agents. */
        public Builder agents(Executor agents) {
            mAgents = agents;
            return this;
        }

        /** Sets the model that is called. */
        public Builder model(String model) {
            mModel = model;
            return this;
        }

        /** Sets the plain service that is called. */
        public Builder service(String service) {
            mService = service;
            return this;
        }

        /** Sets for how long a request is repeated, in milliseconds. */
        public Builder requestTimeoutMillis(long patienceMillis) {
            mPatienceMillis = patienceMillis;
            return this;
        }

        /** Creates the runner. */
        public ProgramRunner build() {
            return new ProgramRunner(this);
        }
    }
}
