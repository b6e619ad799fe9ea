/**
 * Runs calls at the owner of their program and routes calls of callers to that owner.
 *
 * <p>{@code CallDependencies} holds the collaborators that the daemon provides. {@code
 * CallExecutor} runs calls and {@code ProgramOps} operations on programs; {@code
 * CallAcceptor.register(network)} serves both to other daemons. The caller port uses {@code
 * CallRouter} and {@code ProgramRouter}. {@code StickySelector} is the default {@code
 * TargetSelector}.
 */
package org.heathercourse.daemon.call;
