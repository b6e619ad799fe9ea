package org.heathercourse.daemon.limits;

import org.heathercourse.core.limits.ShareGrant;
import org.heathercourse.core.limits.ShareRenewal;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.daemon.peer.PeerMessage.ShareReply;
import org.heathercourse.daemon.peer.PeerMessage.ShareRequest;

/** Converts between the values of {@code core.limits} and peer messages. */
final class ShareMessages {
    private ShareMessages() {}

    static ShareRequest toMessage(WorkspaceId workspace, ShareRenewal renewal) {
        return new ShareRequest(
                workspace,
                renewal.holder(),
                renewal.holderIncarnation(),
                renewal.demandPerSecond(),
                renewal.adoptedSequence(),
                renewal.ratePerSecond(),
                renewal.capacity(),
                renewal.tokens(),
                renewal.remainingMillis(),
                renewal.grantorFence(),
                renewal.number(),
                renewal.returnedTokens(),
                renewal.seenFence(),
                renewal.waiting());
    }

    static ShareRenewal fromMessage(ShareRequest message) {
        return new ShareRenewal(
                message.holder(),
                message.holderIncarnation(),
                message.number(),
                message.demandPerSecond(),
                message.adoptedSequence(),
                message.ratePerSecond(),
                message.capacity(),
                message.tokens(),
                message.returnedTokens(),
                message.remainingMillis(),
                message.grantorFence(),
                message.seenFence(),
                message.waiting());
    }

    static ShareReply toMessage(WorkspaceId workspace, ShareGrant grant) {
        return new ShareReply(
                workspace,
                grant.sequence(),
                grant.ratePerSecond(),
                grant.capacity(),
                grant.addedTokens(),
                grant.validMillis(),
                grant.grantorFence());
    }

    static ShareGrant fromMessage(ShareReply message) {
        return new ShareGrant(
                message.sequence(),
                message.ratePerSecond(),
                message.capacity(),
                message.addedTokens(),
                message.validMillis(),
                message.grantorFence());
    }
}
