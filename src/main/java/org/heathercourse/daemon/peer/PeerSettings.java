package org.heathercourse.daemon.peer;

/**
 * Settings of the links between daemons. Immutable.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 for a port chosen by the operating system
 * @param secret secret shared by all daemons of the deployment, at least 1 byte
 * @param threads number of event loop threads
 * @param incarnationPolicy incarnations of a peer to which links may lead
 * @param maxHandshakes maximum number of accepted connections whose handshake has not completed
 */
public record PeerSettings(
        String host,
        int port,
        byte[] secret,
        int threads,
        IncarnationPolicy incarnationPolicy,
        int maxHandshakes) {
    /** More than the peers of a large deployment that connect at the same time. */
    private static final int DEFAULT_MAX_HANDSHAKES = 1_024;

    /** Copies the secret. */
    public PeerSettings {
        secret = secret.clone();
    }

    /** Creates settings of links that lead to the expected incarnation only. */
    public PeerSettings(String host, int port, byte[] secret, int threads) {
        this(host, port, secret, threads, IncarnationPolicy.SAME, DEFAULT_MAX_HANDSHAKES);
    }

    /** Returns these settings with another incarnation policy. */
    public PeerSettings withIncarnationPolicy(IncarnationPolicy policy) {
        return new PeerSettings(host, port, secret, threads, policy, maxHandshakes);
    }

    /** Returns these settings with another maximum number of handshakes, at least 1. */
    public PeerSettings withMaxHandshakes(int maximum) {
        return new PeerSettings(host, port, secret, threads, incarnationPolicy, maximum);
    }

    @Override
    public String toString() {
        return "PeerSettings[host=" + host + ", port=" + port + ", threads=" + threads + "]";
    }
}
