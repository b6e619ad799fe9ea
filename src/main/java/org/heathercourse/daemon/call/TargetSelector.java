package org.heathercourse.daemon.call;

import io.vavr.control.Either;
import java.util.Set;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestClass;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.platform.TargetFailure;

/**
 * Chooses targets for attempts.
 *
 * <p>Each successful {@link #select} that leads to an attempt is followed by {@link #onDispatched}
 * and then by exactly one of {@link #onSucceeded} and {@link #onFailed}. Implementations are safe
 * for use by several threads and do not block.
 */
public interface TargetSelector {
    /**
     * Properties of a call that a selector uses.
     *
     * @param service service that is called
     * @param model model that is called; empty for plain services
     * @param program program of the call; null for ephemeral calls
     * @param session name under which engines cache the conversation; empty for plain services
     * @param workspace workspace of the call; null on routes open to all
     * @param requestClass urgency
     * @param promptTokens estimate of the tokens of the prompt
     * @param maxTokens maximum number of tokens to generate
     * @param spentTokens tokens that the program has spent so far
     * @param remainingMillis time left until the deadline, in milliseconds
     * @param excluded targets that must not be selected
     */
    record Request(
            ServiceId service,
            String model,
            ProgramId program,
            String session,
            WorkspaceId workspace,
            RequestClass requestClass,
            long promptTokens,
            long maxTokens,
            long spentTokens,
            long remainingMillis,
            Set<TargetId> excluded) {
        /** Copies the excluded targets. */
        public Request {
            excluded = Set.copyOf(excluded);
        }
    }

    /**
     * A selected target.
     *
     * @param target the target
     * @param priority priority at the engine; smaller values are served first
     * @param expectedMillis expected time until the answer is complete, in milliseconds; 0 if
     *     unknown
     * @param cachedTokens estimate of the prompt tokens cached at the target
     */
    record Choice(TargetSpec target, int priority, long expectedMillis, long cachedTokens) {
        /** Creates a choice without estimates. */
        public Choice(TargetSpec target, int priority) {
            this(target, priority, 0, 0);
        }
    }

    /**
     * Chooses a target.
     *
     * @param request the call
     * @return the choice, or an error of kind OVERLOADED with the time after which a retry may
     *     succeed
     */
    Either<HeathercourseException, Choice> select(Request request);

    /** Called before an attempt is sent. */
    void onDispatched(Request request, Choice choice);

    /**
     * Called when an attempt ended with an answer.
     *
     * @param request the call
     * @param choice the choice
     * @param usage tokens used
     * @param firstTokenMillis time to the first token or the head of the answer, in milliseconds
     * @param totalMillis time to the end of the answer, in milliseconds
     */
    void onSucceeded(
            Request request, Choice choice, Usage usage, long firstTokenMillis, long totalMillis);

    /** Called when an attempt failed. */
    void onFailed(Request request, Choice choice, TargetFailure failure);
}
