package org.heathercourse.core.placement;

import io.vavr.control.Either;
import java.util.List;
import java.util.random.RandomGenerator;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RetrySafety;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.Usage;
import org.heathercourse.core.model.Zone;

/**
 * Chooses targets and priorities for the calls of one daemon.
 *
 * <p>The scheduler does no I/O and reads no clock. Times named {@code nowMillis} are readings of a
 * monotonic ticker; the same ticker has to be used for all methods. Created once per daemon and
 * used until the process ends; it needs no shutdown. Safe for use by several threads; no method
 * blocks for longer than a decision takes.
 *
 * <p>Order of use for a call: {@link #pick}, then {@link #onDispatched} with an attempt identity
 * that is unique within the daemon, {@link #onFirstToken} at the first token, then exactly one of
 * {@link #onFinished} and {@link #onFailed}. A call that is retried goes through all of it again.
 */
public final class Scheduler {
    /**
     * Creates a scheduler without targets.
     *
     * @param zone zone of the daemon
     * @param settings limits
     * @param random source of random numbers for the sample of targets
     */
    public Scheduler(Zone zone, SchedulerSettings settings, RandomGenerator random) {}

    /**
     * Applies a configuration: targets, links, workspaces and policy.
     *
     * @param config the configuration in force
     * @param daemons number of live daemons that share the targets, at least 1
     * @param nowMillis present time
     */
    public void onConfig(DeploymentConfig config, int daemons, long nowMillis) {}

    /**
     * Takes in a load report.
     *
     * @param target the target
     * @param report its report
     * @param nowMillis present time
     */
    public void onLoadReport(TargetId target, LoadReport report, long nowMillis) {}

    /**
     * Takes in cache events, possibly late and with gaps.
     *
     * @param target the engine
     * @param changes events in the order of their numbers
     * @param nowMillis present time
     */
    public void onCacheEvents(TargetId target, List<CacheChange> changes, long nowMillis) {}

    /**
     * Chooses a target and a priority.
     *
     * @param request the call
     * @param nowMillis present time
     * @return the choice, or a refusal that is true: nothing was sent
     */
    public Either<Refusal, Pick> pick(PickRequest request, long nowMillis) {
        return Either.left(new Refusal(ErrorKind.OVERLOADED, "no target is configured", 1_000));
    }

    /**
     * Records that an attempt is being sent.
     *
     * @param attempt identity of the attempt, unique within the daemon
     * @param request the call
     * @param pick the choice that is carried out
     * @param nowMillis present time
     */
    public void onDispatched(long attempt, PickRequest request, Pick pick, long nowMillis) {}

    /**
     * Records the first token of an attempt.
     *
     * @param attempt the attempt
     * @param nowMillis present time
     */
    public void onFirstToken(long attempt, long nowMillis) {}

    /**
     * Records the whole answer of an attempt.
     *
     * @param attempt the attempt
     * @param usage tokens used
     * @param nowMillis present time
     */
    public void onFinished(long attempt, Usage usage, long nowMillis) {}

    /**
     * Records the failure of an attempt.
     *
     * @param attempt the attempt
     * @param targetAtFault whether the failure speaks against the target; false for calls that the
     *     caller cancelled
     * @param nowMillis present time
     */
    public void onFailed(long attempt, boolean targetAtFault, long nowMillis) {}

    /**
     * Decides whether a failed call may be tried again, and takes the retry from the budget.
     *
     * @param safety whether the call may be repeated
     * @param provenNotRun whether the failure proves that the target did not run the call
     * @return whether to try again
     */
    public boolean tryRetry(RetrySafety safety, boolean provenNotRun) {
        return false;
    }

    /**
     * Decides whether a second attempt is sent beside a slow first one, and takes it from the
     * budget.
     *
     * @param attempt the slow attempt
     * @param safety whether the call may be repeated
     * @param nowMillis present time
     * @return whether to send a second attempt
     */
    public boolean tryHedge(long attempt, RetrySafety safety, long nowMillis) {
        return false;
    }

    /**
     * Decides what happens to a session's cache during a tool pause.
     *
     * @param session the session
     * @param expectedPauseMillis expected length of the pause in milliseconds
     * @param nowMillis present time
     * @return what to do
     */
    public PauseAdvice onPause(String session, long expectedPauseMillis, long nowMillis) {
        return PauseAdvice.KEEP;
    }

    /**
     * Forgets a program.
     *
     * @param program the program
     * @param sessions names of its sessions
     * @return engines that may hold cache of these sessions
     */
    public List<TargetId> onProgramEnded(ProgramId program, List<String> sessions) {
        return List.of();
    }
}
