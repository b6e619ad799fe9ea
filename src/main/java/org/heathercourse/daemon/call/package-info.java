/**
 * Calls: the owner side, which runs them, and the front side, which routes them.
 *
 * <p>Wiring: {@code CallServices} collects the rest of the daemon, {@code CallExecutor} runs calls,
 * {@code ProgramOps} runs operations on programs, {@code CallAcceptor.register(network)} serves
 * what other daemons forward, {@code CallRouter} and {@code ProgramRouter} are what the caller port
 * uses. {@code StickySelector} is the default {@code TargetSelector}.
 */
package org.heathercourse.daemon.call;
