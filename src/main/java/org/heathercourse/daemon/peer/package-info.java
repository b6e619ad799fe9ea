/**
 * Links between daemons: framed MessagePack over TCP.
 *
 * <p>Wiring: {@code new NettyPeerNetwork(settings, self, ticker, random)}, set the handlers with
 * {@code onRequest} and {@code onCall}, then {@code start()}, which returns the bound port. The
 * random source must be unpredictable in production, for instance {@link
 * java.security.SecureRandom}.
 */
package org.heathercourse.daemon.peer;
