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
 * Messages and token limits of a model call. Immutable.
 *
 * @param chat body of the call
 * @param service service that offers the model
 * @param messages the whole conversation that is sent to the engine
 * @param addedMessages messages that the call adds to the history, excluding the answer
 * @param promptTokens estimate of the tokens of the conversation
 * @param maxTokens maximum number of tokens to generate
 * @param spentTokens tokens that the program has spent so far
 * @param session name under which engines cache the conversation
 */
record ModelCallPlan(
        ChatCompletionRequest chat,
        ServiceSpec service,
        List<ChatMessage> messages,
        List<ChatMessage> addedMessages,
        long promptTokens,
        int maxTokens,
        long spentTokens,
        String session) {
    private static final int DEFAULT_MAX_TOKENS = 1024;

    /** Prefix of the names of engine sessions of programs. */
    static final String SESSION_PREFIX = "hc.";

    /** Returns the name of the engine session of a program. */
    static String sessionOf(ProgramId program) {
        return SESSION_PREFIX + program.value();
    }

    /** Returns the maximum number of tokens that the call may spend. */
    long neededTokens() {
        return promptTokens + maxTokens;
    }

    /** Plans a call without a program. */
    static ModelCallPlan ephemeral(
            DeploymentConfig config, ChatCompletionRequest chat, String session) {
        ServiceSpec service = findService(config, chat);
        long promptTokens = ChatCompletionRequest.estimateTokens(chat.messages());
        int maxTokens = chat.maxTokens() == 0 ? DEFAULT_MAX_TOKENS : chat.maxTokens();
        return new ModelCallPlan(
                chat, service, chat.messages(), List.of(), promptTokens, maxTokens, 0, session);
    }

    /**
     * Plans a call of a program and reserves the tokens that it may spend. Blocks until the
     * reservation is durable, or copied to other daemons while the store is down.
     *
     * @param dependencies collaborators of the daemon
     * @param recorder writer of the program log
     * @param job the call
     * @param chat its body
     * @return the plan
     * @throws HeathercourseException if the call is refused, such as for its history or its budget
     */
    static ModelCallPlan reserve(
            CallDependencies dependencies,
            ProgramRecorder recorder,
            Job job,
            ChatCompletionRequest chat) {
        CallRequest request = job.request();
        ServiceSpec service = findService(dependencies.config().current(), chat);
        ModelCallPlan plan;
        CompletableFuture<Void> reserved = null;
        synchronized (recorder.lockFor(request.program())) {
            ProgramState found = recorder.find(request.program()).orElse(null);
            if (found == null && request.historyMode() == HistoryMode.APPEND) {
                throw CallErrors.unknownProgram(request.program());
            }
            List<LogRecord> records = new ArrayList<>();
            ProgramState state = found;
            if (found == null) {
                LogRecord.ProgramStarted started = Programs.startRecord(dependencies, request, 0);
                state = ProgramState.start(started);
            }
            plan = create(request, chat, service, state);
            long remainingTokens = state.budgetTokens() - state.spentTokens();
            if (plan.maxTokens < 1 || plan.neededTokens() > remainingTokens) {
                throw CallErrors.budgetExceeded(plan.neededTokens(), remainingTokens);
            }
            if (found == null) {
                records.add(Programs.startRecord(dependencies, request, plan.neededTokens()));
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

    private static ModelCallPlan create(
            CallRequest request,
            ChatCompletionRequest chat,
            ServiceSpec service,
            ProgramState state) {
        List<ChatMessage> sent = chat.messages();
        List<ChatMessage> history = state.history();
        List<ChatMessage> allMessages = sent;
        List<ChatMessage> addedMessages = sent;
        if (request.oneCall()) {
            addedMessages = List.of();
        } else if (request.historyMode() == HistoryMode.APPEND) {
            allMessages = new ArrayList<>(history);
            allMessages.addAll(sent);
        } else {
            checkExtendsHistory(history, sent);
            addedMessages = sent.subList(history.size(), sent.size());
        }
        long promptTokens = ChatCompletionRequest.estimateTokens(allMessages);
        long remainingTokens = state.budgetTokens() - state.spentTokens() - promptTokens;
        int maxTokens =
                chat.maxTokens() == 0
                        ? (int) Math.max(0, Math.min(DEFAULT_MAX_TOKENS, remainingTokens))
                        : chat.maxTokens();
        return new ModelCallPlan(
                chat,
                service,
                List.copyOf(allMessages),
                List.copyOf(addedMessages),
                promptTokens,
                maxTokens,
                state.spentTokens(),
                sessionOf(request.program()));
    }

    private static void checkExtendsHistory(List<ChatMessage> history, List<ChatMessage> sent) {
        int commonCount = 0;
        while (commonCount < history.size()
                && commonCount < sent.size()
                && history.get(commonCount).equals(sent.get(commonCount))) {
            commonCount++;
        }
        if (commonCount < history.size() || sent.size() == history.size()) {
            throw new HeathercourseException(
                    ErrorKind.HISTORY_MISMATCH,
                    "the program has "
                            + history.size()
                            + " messages; the "
                            + sent.size()
                            + " sent agree with the first "
                            + commonCount
                            + ", expected all of them and at least one more",
                    "send the whole conversation, or set X-Program-History: append");
        }
    }

    private static ServiceSpec findService(DeploymentConfig config, ChatCompletionRequest chat) {
        return config.serviceOfModel(chat.model())
                .orElseThrow(
                        () ->
                                new HeathercourseException(
                                        ErrorKind.UNKNOWN_SERVICE,
                                        "model " + chat.model() + " is not declared",
                                        "use a model that GET /v1/models lists"));
    }
}
