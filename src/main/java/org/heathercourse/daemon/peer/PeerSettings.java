package org.heathercourse.daemon.peer;

/**
 * Settings of the links between daemons. Immutable.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 for a port chosen by the operating system
 * @param secret secret shared by all daemons of the deployment, at least 1 byte
 * @param threads number of event loop threads
 */
public record PeerSettings(String host, int port, byte[] secret, int threads) {
    /** Copies the secret. */
    public PeerSettings {
        secret = secret.clone();
    }

    @Override
    public String toString() {
        return "PeerSettings[host=" + host + ", port=" + port + ", threads=" + threads + "]";
    }
}
