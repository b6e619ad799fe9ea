/**
 * The HTTP ports of the daemon.
 *
 * <p>Wiring: {@code new CallerServer(settings, services...)} then {@code start()}, which returns
 * the bound port; {@code new AdminServer(host, port, metrics, ready)} then {@code start()}.
 */
package org.heathercourse.daemon.http;
