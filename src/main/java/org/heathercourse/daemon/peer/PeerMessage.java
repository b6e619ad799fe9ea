package org.heathercourse.daemon.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.heathercourse.core.model.VmId;
import org.heathercourse.core.model.WorkspaceId;

/**
 * Messages between daemons, encoded as MessagePack maps. Receivers ignore unknown fields, so that
 * adjacent versions stay compatible. All messages are immutable, except for the content of arrays.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.StatusRequest.class, name = "status"),
    @JsonSubTypes.Type(value = PeerMessage.StatusReply.class, name = "status_reply"),
    @JsonSubTypes.Type(value = PeerMessage.ConfigPush.class, name = "config"),
    @JsonSubTypes.Type(value = PeerMessage.ShareRequest.class, name = "share"),
    @JsonSubTypes.Type(value = PeerMessage.ShareReply.class, name = "share_reply"),
    @JsonSubTypes.Type(value = PeerMessage.ProgramOp.class, name = "op"),
    @JsonSubTypes.Type(value = PeerMessage.ProgramOpReply.class, name = "op_reply"),
    @JsonSubTypes.Type(value = PeerMessage.CallStart.class, name = "call"),
    @JsonSubTypes.Type(value = PeerMessage.CallBody.class, name = "call_body"),
    @JsonSubTypes.Type(value = PeerMessage.CallCancel.class, name = "call_cancel"),
    @JsonSubTypes.Type(value = PeerMessage.CallHead.class, name = "call_head"),
    @JsonSubTypes.Type(value = PeerMessage.CallChunk.class, name = "call_chunk"),
    @JsonSubTypes.Type(value = PeerMessage.CallEnd.class, name = "call_end"),
    @JsonSubTypes.Type(value = PeerMessage.ErrorReply.class, name = "error"),
    @JsonSubTypes.Type(value = PeerMessage.ReplicaAppend.class, name = "replica_append"),
    @JsonSubTypes.Type(value = PeerMessage.ReplicaReply.class, name = "replica_reply"),
    @JsonSubTypes.Type(value = PeerMessage.ReplicaQuery.class, name = "replica_query"),
    @JsonSubTypes.Type(value = PeerMessage.ReplicaRecords.class, name = "replica_records"),
    @JsonSubTypes.Type(value = PeerMessage.ReplicaDrop.class, name = "replica_drop"),
    @JsonSubTypes.Type(value = PeerMessage.BudgetReserve.class, name = "budget_reserve"),
    @JsonSubTypes.Type(value = PeerMessage.BudgetReply.class, name = "budget_reply"),
    @JsonSubTypes.Type(value = PeerMessage.BudgetSettle.class, name = "budget_settle"),
    @JsonSubTypes.Type(value = PeerMessage.RateReserve.class, name = "rate_reserve"),
    @JsonSubTypes.Type(value = PeerMessage.RateReply.class, name = "rate_reply"),
    @JsonSubTypes.Type(value = PeerMessage.StoreCall.class, name = "store_call"),
    @JsonSubTypes.Type(value = PeerMessage.StoreReply.class, name = "store_reply"),
    @JsonSubTypes.Type(value = PeerMessage.LoadReport.class, name = "load_report"),
    @JsonSubTypes.Type(value = PeerMessage.LoadReply.class, name = "load_reply"),
})
public sealed interface PeerMessage {
    /**
     * Requests the state of a daemon.
     *
     * @param from the requesting daemon
     * @param revision configuration revision in force at the requesting daemon
     */
    record StatusRequest(VmId from, long revision) implements PeerMessage {}

    /**
     * State of a daemon.
     *
     * @param from the daemon
     * @param incarnation its incarnation
     * @param revision configuration revision in force at the daemon
     * @param storeReadAgeMillis time since its last successful read of the store, in milliseconds;
     *     -1 if there was none
     * @param draining whether it is draining
     */
    record StatusReply(
            VmId from, long incarnation, long revision, long storeReadAgeMillis, boolean draining)
            implements PeerMessage {}

    /**
     * Pushes a new configuration.
     *
     * @param revision its revision
     * @param body the configuration as JSON
     */
    record ConfigPush(long revision, byte[] body) implements PeerMessage {}

    /**
     * Requests a share of a workspace's rate from the grantor, the daemon that divides the rate,
     * and reports the share in use.
     *
     * @param workspace the workspace
     * @param holder the requesting daemon
     * @param holderIncarnation its incarnation
     * @param demandPerSecond recent requests per second, including rejected ones
     * @param adoptedSequence sequence number of the share in use; 0 if there is none
     * @param ratePerSecond fill rate of the share in use, in requests per second
     * @param capacity token bucket capacity of the share in use, in tokens
     * @param tokens tokens left in the bucket
     * @param remainingMillis remaining validity of the share in use, in milliseconds
     * @param grantorFence fencing number of the grantor of the share in use; 0 if there is none
     * @param number number of this request, increasing at its holder, by which the grantor detects
     *     duplicate and reordered requests
     * @param returnedTokens tokens that the holder returned when it adopted the share in use
     * @param seenFence highest fencing number of a grantor that the holder has observed
     * @param waiting number of requests queued at the holder for a token
     */
    record ShareRequest(
            WorkspaceId workspace,
            VmId holder,
            long holderIncarnation,
            double demandPerSecond,
            long adoptedSequence,
            double ratePerSecond,
            double capacity,
            double tokens,
            long remainingMillis,
            long grantorFence,
            long number,
            double returnedTokens,
            long seenFence,
            int waiting)
            implements PeerMessage {}

    /**
     * Grants a share of a workspace's rate.
     *
     * @param workspace the workspace
     * @param sequence sequence number of the share, increasing at its holder
     * @param ratePerSecond fill rate of the share, in requests per second
     * @param capacity token bucket capacity of the share, in tokens
     * @param addedTokens tokens transferred to the holder; if negative, the maximum number of
     *     tokens that the holder has to return with its next request
     * @param validMillis validity in milliseconds, counted from the sending of the request; 0 if
     *     this grants no share, but is the request of a new grantor for a report
     * @param grantorFence fencing number of the grantor
     */
    record ShareReply(
            WorkspaceId workspace,
            long sequence,
            double ratePerSecond,
            double capacity,
            double addedTokens,
            long validMillis,
            long grantorFence)
            implements PeerMessage {}

    /**
     * An operation on a program, forwarded to its owner.
     *
     * @param op name of the operation: start, show, end, result or list
     * @param workspace workspace that requested it
     * @param program the program; empty for list
     * @param json arguments as a JSON object
     */
    record ProgramOp(String op, String workspace, String program, String json)
            implements PeerMessage {}

    /**
     * Result of a program operation.
     *
     * @param json result as a JSON object
     */
    record ProgramOpReply(String json) implements PeerMessage {}

    /**
     * A call, forwarded to the owner of its program. The caller's key is not part of it.
     *
     * @param call the call as JSON; see {@code daemon.call}
     * @param body the request body or its first part
     * @param bodyComplete whether no {@link CallBody} follows
     */
    record CallStart(String call, byte[] body, boolean bodyComplete) implements PeerMessage {}

    /**
     * A further part of a request body.
     *
     * @param bytes the bytes
     * @param last whether this is the last part
     */
    record CallBody(byte[] bytes, boolean last) implements PeerMessage {}

    /** The caller disconnected; the call continues if its program needs the answer. */
    record CallCancel() implements PeerMessage {}

    /**
     * Status and headers of an answer.
     *
     * @param status HTTP status
     * @param headers HTTP headers
     */
    record CallHead(int status, Map<String, List<String>> headers) implements PeerMessage {}

    /**
     * A part of an answer body.
     *
     * @param bytes the bytes
     */
    record CallChunk(byte[] bytes) implements PeerMessage {}

    /**
     * End of a complete answer.
     *
     * @param durability durability of the record of the call: durable, pending or none
     */
    record CallEnd(String durability) implements PeerMessage {}

    /**
     * Failure of a request or call.
     *
     * @param kind wire name of the error kind
     * @param message description of the failure
     * @param remedy what the caller or operator can do
     * @param notRun whether it is certain that no target ran the request
     * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 if unknown
     */
    record ErrorReply(
            String kind, String message, String remedy, boolean notRun, long retryAfterMillis)
            implements PeerMessage {}

    /**
     * Replicates appends of a shard that are not durable yet; the receiver holds them in memory.
     * Answered with {@link ReplicaReply}; rejected if the receiver's replicas have reached their
     * size limit, or if it has answered a {@link ReplicaQuery} of a later owner.
     *
     * @param shard number of the shard
     * @param owner VM of its owner
     * @param incarnation incarnation of the owner
     * @param fence fencing number of the owner
     * @param firstNumber number of the first append that is not durable; earlier ones can be
     *     dropped
     * @param fromNumber number of the first append in this message; the others follow without gaps
     * @param records the frames of {@code LogCodec}, one for each append
     */
    record ReplicaAppend(
            int shard,
            VmId owner,
            long incarnation,
            long fence,
            long firstNumber,
            long fromNumber,
            List<byte[]> records)
            implements PeerMessage {}

    /**
     * Acknowledges replicated appends.
     *
     * @param shard number of the shard
     * @param upTo number up to which all appends that are not durable are held; if none is held,
     *     the number before the first one that is not durable
     */
    record ReplicaReply(int shard, long upTo) implements PeerMessage {}

    /**
     * Requests the replicated appends of earlier owners of a shard. The receiver rejects further
     * appends of earlier owners afterwards.
     *
     * @param shard number of the shard
     * @param beforeFence fencing number of the requesting owner
     * @param fromNumber number of the first append to return
     */
    record ReplicaQuery(int shard, long beforeFence, long fromNumber) implements PeerMessage {}

    /**
     * Replicated appends of the latest fencing number below the requested one.
     *
     * @param shard number of the shard
     * @param fence fencing number of the owner that wrote them; 0 if there are none
     * @param fromNumber number of the first append
     * @param records the frames of {@code LogCodec}, one for each append
     * @param more whether further appends follow
     */
    record ReplicaRecords(
            int shard, long fence, long fromNumber, List<byte[]> records, boolean more)
            implements PeerMessage {}

    /**
     * Drops replicated appends that have become durable, and all appends of smaller fencing
     * numbers. Answered with {@link ReplicaReply}.
     *
     * @param shard number of the shard
     * @param fence fencing number of the owner
     * @param upTo number of the last durable append
     */
    record ReplicaDrop(int shard, long fence, long upTo) implements PeerMessage {}

    /**
     * Reserves tokens of a program's budget for a turn at the gateway that owns the program.
     *
     * @param program key of the program
     * @param reservation identity of the reservation; null from a gateway of an earlier version
     * @param limitTokens budget of the program, in tokens
     * @param needTokens maximum number of tokens that the turn can generate
     */
    record BudgetReserve(String program, String reservation, long limitTokens, long needTokens)
            implements PeerMessage {}

    /**
     * Answers {@link BudgetReserve} and {@link BudgetSettle}.
     *
     * @param outcome wire name of the outcome
     * @param begun whether an earlier turn of the program has run
     */
    record BudgetReply(String outcome, boolean begun) implements PeerMessage {}

    /**
     * Returns reserved tokens that a turn did not use. Takes effect once for each reservation,
     * however often it is sent, also if it arrives before the reservation.
     *
     * @param program key of the program
     * @param reservation identity of the reservation; null from a gateway of an earlier version
     * @param unusedTokens reserved tokens that were not generated
     * @param ran whether a target generated tokens for the turn
     */
    record BudgetSettle(String program, String reservation, long unusedTokens, boolean ran)
            implements PeerMessage {}

    /**
     * Requests the admission of a call from an owner of a workspace's rate.
     *
     * @param workspace name of the workspace
     * @param newcomer whether the request is not urgent and belongs to a program without earlier
     *     turns
     * @param mostWaitMillis maximum time that the request can be queued, in milliseconds
     */
    record RateReserve(String workspace, boolean newcomer, long mostWaitMillis)
            implements PeerMessage {}

    /**
     * Answers {@link RateReserve}.
     *
     * @param granted whether the request is admitted
     * @param waitMillis time that the request has to wait, or would have to if it were admitted, in
     *     milliseconds; -1 if the receiver owns no part of the rate
     */
    record RateReply(boolean granted, long waitMillis) implements PeerMessage {}

    /**
     * Forwards a call to the store, which the sender cannot reach itself.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param body request body; empty if there is none
     * @param timeoutMillis timeout of the call, in milliseconds
     */
    record StoreCall(String method, String uri, byte[] body, long timeoutMillis)
            implements PeerMessage {}

    /**
     * Reply of the store to a {@link StoreCall}.
     *
     * @param status HTTP status; 0 if the store did not answer
     * @param body response body
     * @param outcomeUnknown if the store did not answer, whether the call may have taken effect
     */
    record StoreReply(int status, byte[] body, boolean outcomeUnknown) implements PeerMessage {}

    /**
     * Reports work at targets to the load owner of a zone.
     *
     * @param from VM of the reporting gateway, or the zone whose sum is reported
     * @param incarnation incarnation of the reporting process
     * @param zoneSum whether the report is the sum of a zone, from its load owner
     * @param targets incarnations of the targets
     * @param values five numbers for each target, in the order of the targets: requests, prompt
     *     tokens, output tokens, expected and measured run times in milliseconds
     */
    record LoadReport(
            String from, long incarnation, boolean zoneSum, List<String> targets, long[] values)
            implements PeerMessage {}

    /**
     * Answers {@link LoadReport} with the work of all others; a report of a zone's sum with the sum
     * of the receiver's zone.
     *
     * @param targets incarnations of the targets
     * @param values five numbers for each target, as in the report
     * @param ageMillis mean age of the reports in the sums, in milliseconds
     * @param collectingMillis time for which the receiver has collected reports, in milliseconds
     */
    record LoadReply(List<String> targets, long[] values, long ageMillis, long collectingMillis)
            implements PeerMessage {}
}
