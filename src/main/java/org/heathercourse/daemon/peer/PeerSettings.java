package org.heathercourse.daemon.peer;

/**
 * Settings of the links between daemons. Immutable.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 for a port chosen by the operating system
 * @param secret secret shared by all daemons of the deployment, at least 1 byte
 * @param threads number of event loop threads
 * @param incarnationPolicy incarnations of a peer to which links may lead
 */
public record PeerSettings(
        String host, int port, byte[] secret, int threads, IncarnationPolicy incarnationPolicy) {
    /** Copies the secret. */
    public PeerSettings {
        secret = secret.clone();
    }

    /** Creates settings of links that lead to the expected incarnation only. */
    public PeerSettings(String host, int port, byte[] secret, int threads) {
        this(host, port, secret, threads, IncarnationPolicy.SAME);
    }

    /** Returns these settings with another incarnation policy. */
    public PeerSettings withIncarnationPolicy(IncarnationPolicy policy) {
        return new PeerSettings(host, port, secret, threads, policy);
    }

    @Override
    public String toString() {
        return "PeerSettings[host=" + host + ", port=" + port + ", threads=" + threads + "]";
    }
}
