package org.heathercourse.daemon.peer;

/**
 * Settings of the links between daemons. Immutable.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 lets the system choose
 * @param secret secret shared by all daemons of the deployment, at least 1 byte
 * @param threads threads that carry the links
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
