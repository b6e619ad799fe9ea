package org.heathercourse.gateway.control;

import org.heathercourse.core.fleet.Member;
import org.heathercourse.core.ownership.DaemonInfo;

/** Converts members to the address type of the peer network. */
final class PeerAddress {
    private PeerAddress() {}

    static DaemonInfo of(Member member) {
        return new DaemonInfo(
                member.vm(),
                member.incarnation(),
                member.zone(),
                member.peerHost(),
                0,
                member.peerPort(),
                0,
                member.heartbeat(),
                member.periodMillis(),
                false);
    }
}
