package org.heathercourse.daemon.call;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.ServiceSpec;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ChatMessage;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.program.LogRecord;
import org.heathercourse.core.program.ProgramState;

/**
 * What a model call sends and may spend. Immutable.
 *
 * @param chat body of the call
 * @param service service that offers the model
 * @param messages the whole conversation for the engine
 * @param added messages that the call adds to the history, without the answer
 * @param promptTokens estimate of the tokens of the conversation
 * @param maxTokens most tokens to generate
 * @param attainedTokens tokens that the program has spent so far
 * @param session name under which engines cache the conversation
 */
record ModelPlan(
        ChatCompletionRequest chat,
        ServiceSpec service,
        List<ChatMessage> messages,
        List<ChatMessage> added,
        long promptTokens,
        int maxTokens,
        long attainedTokens,
        String session) {
    private static final int DEFAULT_MAX_TOKENS = 1024;

    /** Start of the names of engine sessions of programs. */
    static final String SESSION_PREFIX = "hc.";

    /** Returns the engine session of a program. */
    static String session(ProgramId program) {
        return SESSION_PREFIX + program.value();
    }

    long neededTokens() {
        return promptTokens + maxTokens;
    }

    /** Plans a call that is not logged. */
    static ModelPlan ephemeral(
            DeploymentConfig config, ChatCompletionRequest chat, String session) {
        ServiceSpec service = service(config, chat);
        long prompt = ChatCompletionRequest.estimateTokens(chat.messages());
        int max = chat.maxTokens() == 0 ? DEFAULT_MAX_TOKENS : chat.maxTokens();
        return new ModelPlan(chat, service, chat.messages(), List.of(), prompt, max, 0, session);
    }

    /**
     * Plans a call of a program, and reserves what it may spend before it returns.
     *
     * @param services services of the daemon
     * @param recorder log of programs
     * @param job the call
     * @param chat its body
     * @return the plan
     */
    static ModelPlan reserve(
            CallDependencies services, Recorder recorder, Job job, ChatCompletionRequest chat) {
        CallRequest request = job.request();
        ServiceSpec service = service(services.config().current(), chat);
        ModelPlan plan;
        CompletableFuture<Void> reserved = null;
        synchronized (recorder.lock(request.program())) {
            ProgramState found = recorder.find(request.program()).orElse(null);
            if (found == null && request.historyMode() == HistoryMode.APPEND) {
                throw CallErrors.unknownProgram(request.program());
            }
            List<LogRecord> records = new ArrayList<>();
            ProgramState state = found;
            if (found == null) {
                LogRecord.ProgramStarted started = Programs.started(services, request, 0);
                state = ProgramState.start(started);
            }
            plan = of(request, chat, service, state);
            long left = state.budgetTokens() - state.spentTokens();
            if (plan.maxTokens < 1 || plan.neededTokens() > left) {
                throw CallErrors.budgetExceeded(plan.neededTokens(), left);
            }
            if (found == null) {
                records.add(Programs.started(services, request, plan.neededTokens()));
            } else if (state.reservedTokens() < plan.neededTokens()) {
                records.add(new LogRecord.BudgetReserved(request.program(), plan.neededTokens()));
            }
            if (!records.isEmpty()) {
                reserved = recorder.append(request.program(), records);
            }
        }
        if (reserved != null) {
            recorder.awaitReservation(request.program(), reserved);
        }
        return plan;
    }

    private static ModelPlan of(
            CallRequest request,
            ChatCompletionRequest chat,
            ServiceSpec service,
            ProgramState state) {
        List<ChatMessage> sent = chat.messages();
        List<ChatMessage> history = state.history();
        List<ChatMessage> all = sent;
        List<ChatMessage> added = sent;
        if (request.oneCall()) {
            added = List.of();
        } else if (request.historyMode() == HistoryMode.APPEND) {
            all = new ArrayList<>(history);
            all.addAll(sent);
        } else {
            checkExtends(history, sent);
            added = sent.subList(history.size(), sent.size());
        }
        long prompt = ChatCompletionRequest.estimateTokens(all);
        long left = state.budgetTokens() - state.spentTokens() - prompt;
        int max =
                chat.maxTokens() == 0
                        ? (int) Math.max(0, Math.min(DEFAULT_MAX_TOKENS, left))
                        : chat.maxTokens();
        return new ModelPlan(
                chat,
                service,
                List.copyOf(all),
                List.copyOf(added),
                prompt,
                max,
                state.spentTokens(),
                session(request.program()));
    }

    private static void checkExtends(List<ChatMessage> history, List<ChatMessage> sent) {
        int same = 0;
        while (same < history.size()
                && same < sent.size()
                && history.get(same).equals(sent.get(same))) {
            same++;
        }
        if (same < history.size() || sent.size() == history.size()) {
            throw new HeathercourseException(
                    ErrorKind.HISTORY_MISMATCH,
                    "the program has "
                            + history.size()
                            + " messages; the "
                            + sent.size()
                            + " sent agree with the first "
                            + same
                            + ", expected all of them and at least one more",
                    "send the whole conversation, or set X-Program-History: append");
        }
    }

    private static ServiceSpec service(DeploymentConfig config, ChatCompletionRequest chat) {
        return config.serviceOfModel(chat.model())
                .orElseThrow(
                        () ->
                                new HeathercourseException(
                                        ErrorKind.UNKNOWN_SERVICE,
                                        "model " + chat.model() + " is not declared",
                                        "use a model that GET /v1/models lists"));
    }
}
