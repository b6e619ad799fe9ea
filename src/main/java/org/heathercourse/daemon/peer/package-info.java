/**
 * Network between daemons: length-prefixed MessagePack frames over authenticated TCP connections.
 *
 * <p>Usage: create {@code new NettyPeerNetwork(settings, self, ticker, random)}, set the handlers
 * with {@code onRequest} and {@code onCall}, then call {@code start()}, which returns the bound
 * port. The random source must be unpredictable in production, for instance {@link
 * java.security.SecureRandom}.
 */
package org.heathercourse.daemon.peer;
