package org.heathercourse.daemon.call;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import javax.inject.Inject;
import org.heathercourse.core.error.ErrorKind;
import org.heathercourse.core.error.HeathercourseException;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ShardId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.ownership.DaemonInfo;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.peer.PeerMessage.ProgramOp;
import org.heathercourse.daemon.peer.PeerMessage.ProgramOpReply;
import org.heathercourse.daemon.peer.PeerNetwork;
import org.heathercourse.daemon.state.ShardDirectory;

/**
 * Sends operations on programs to the owner of the program and waits for a new owner if the current
 * one cannot be reached. Methods block. Safe for use by several threads.
 */
public final class ProgramRouter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long POLL_MILLIS = 50;
    private static final long REPLY_TIMEOUT_MILLIS = 8000;
    private static final long MAX_REPLY_WAIT_MILLIS = REPLY_TIMEOUT_MILLIS + 1000;

    private final PeerNetwork mNetwork;
    private final ShardDirectory mShards;
    private final ConfigSource mConfig;
    private final CallSettings mSettings;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;

    @Inject
    public ProgramRouter(
            PeerNetwork network,
            ShardDirectory shards,
            ConfigSource config,
            CallSettings settings,
            Ticker ticker,
            RandomGenerator random) {
        mNetwork = network;
        mShards = shards;
        mConfig = config;
        mSettings = settings;
        mTicker = ticker;
        mRandom = random;
    }

    /**
     * Starts a program. The budget of a sub-agent is charged to its parent first.
     *
     * @param workspace workspace of the program
     * @param program its identity; null to generate one
     * @param parent parent program of a sub-agent; null if there is none
     * @param budgetTokens maximum number of tokens that it may spend; 0 for the default
     * @return the program as JSON
     */
    public String start(
            WorkspaceId workspace, ProgramId program, ProgramId parent, long budgetTokens) {
        ProgramId programId = program;
        if (programId == null) {
            byte[] bytes = new byte[16];
            mRandom.nextBytes(bytes);
            programId = new ProgramId("p." + HexFormat.of().formatHex(bytes));
        }
        ObjectNode arguments = MAPPER.createObjectNode();
        long grantedTokens = budgetTokens;
        if (parent != null) {
            ObjectNode grantArguments = MAPPER.createObjectNode().put("child", programId.value());
            if (budgetTokens > 0) {
                grantArguments.put("budget_tokens", budgetTokens);
            }
            grantedTokens =
                    parseBudgetTokens(run("carve", workspace, parent, grantArguments.toString()));
            arguments.put("parent", parent.value());
        }
        if (grantedTokens > 0) {
            arguments.put("budget_tokens", grantedTokens);
        }
        return run("start", workspace, programId, arguments.toString());
    }

    private static long parseBudgetTokens(String json) {
        try {
            return MAPPER.readTree(json).path("budget_tokens").asLong();
        } catch (JsonProcessingException e) {
            throw HeathercourseException.builder(ErrorKind.INTERNAL)
                    .message("the owner of the parent sent a malformed reply")
                    .remedy("run daemons of the same or adjacent versions")
                    .cause(e)
                    .build();
        }
    }

    /** Returns the time in milliseconds after which {@link #run} returns or fails in any case. */
    public long maxDurationMillis() {
        return mSettings.ownerTimeoutMillis() + MAX_REPLY_WAIT_MILLIS + POLL_MILLIS;
    }

    /**
     * Runs an idempotent operation at the owner of a program.
     *
     * @param op start, carve, show, end or result; carve grants budget of a parent to a sub-agent
     * @param workspace workspace of the caller; null for operators
     * @param program the program
     * @param json arguments as a JSON object
     * @return the result as JSON
     */
    public String run(String op, WorkspaceId workspace, ProgramId program, String json) {
        ShardId shard = ShardId.of(program, mConfig.current().shards());
        String workspaceValue = workspace == null ? "" : workspace.value();
        ProgramOp message = new ProgramOp(op, workspaceValue, program.value(), json);
        long endMillis = mTicker.readMillis() + mSettings.ownerTimeoutMillis();
        while (true) {
            Optional<DaemonInfo> owner = mShards.owner(shard);
            if (owner.isPresent()) {
                Optional<String> reply = requestOwner(owner.get(), message);
                if (reply.isPresent()) {
                    return reply.get();
                }
            }
            if (mTicker.readMillis() >= endMillis) {
                throw CallErrors.ownerUnavailable(shard, true);
            }
            waitForPoll();
        }
    }

    private static void waitForPoll() {
        try {
            if (new CountDownLatch(1).await(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("a latch that is never counted down was released");
            }
        } catch (InterruptedException e) {
            throw CallErrors.interrupted(true);
        }
    }

    /** Returns the reply, or empty if the operation has to be retried at the present owner. */
    private Optional<String> requestOwner(DaemonInfo owner, ProgramOp message) {
        try {
            return Optional.of(
                    mNetwork.request(owner, message, ProgramOpReply.class, REPLY_TIMEOUT_MILLIS)
                            .get(MAX_REPLY_WAIT_MILLIS, TimeUnit.MILLISECONDS)
                            .json());
        } catch (ExecutionException e) {
            if (e.getCause() instanceof HeathercourseException cause) {
                if (RoutedAnswer.isOwnerChangeError(cause.kind())) {
                    return Optional.empty();
                }
                throw cause;
            }
            throw new IllegalStateException(
                    "the program operation failed unexpectedly", e.getCause());
        } catch (TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            throw CallErrors.interrupted(true);
        }
    }
}
