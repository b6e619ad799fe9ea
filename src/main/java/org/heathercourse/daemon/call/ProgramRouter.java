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
 * The front side of operations on programs: finds the owner and waits for a new one if need be.
 * Methods block. Safe for use by several threads.
 */
public final class ProgramRouter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long POLL_MILLIS = 50;
    private static final long REPLY_TIMEOUT_MILLIS = 8000;

    private final PeerNetwork mNetwork;
    private final ShardDirectory mShards;
    private final ConfigSource mConfig;
    private final CallSettings mSettings;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;

    /** Creates a router. */
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
     * Starts a program. The budget of a sub-agent is first spent at its parent.
     *
     * @param workspace workspace that it belongs to
     * @param program its identity; null to have one made
     * @param parent program that starts it as a sub-agent; null if there is none
     * @param budgetTokens tokens that it may spend; 0 for the default
     * @return the program as JSON
     */
    public String start(
            WorkspaceId workspace, ProgramId program, ProgramId parent, long budgetTokens) {
        ProgramId started = program;
        if (started == null) {
            byte[] bytes = new byte[16];
            mRandom.nextBytes(bytes);
            started = new ProgramId("p." + HexFormat.of().formatHex(bytes));
        }
        ObjectNode arguments = MAPPER.createObjectNode();
        long budget = budgetTokens;
        if (parent != null) {
            ObjectNode carve = MAPPER.createObjectNode().put("child", started.value());
            if (budgetTokens > 0) {
                carve.put("budget_tokens", budgetTokens);
            }
            budget = budgetOf(run("carve", workspace, parent, carve.toString()));
            arguments.put("parent", parent.value());
        }
        if (budget > 0) {
            arguments.put("budget_tokens", budget);
        }
        return run("start", workspace, started, arguments.toString());
    }

    private static long budgetOf(String json) {
        try {
            return MAPPER.readTree(json).path("budget_tokens").asLong();
        } catch (JsonProcessingException e) {
            throw HeathercourseException.builder(ErrorKind.INTERNAL)
                    .message("the owner of the parent sent a malformed reply")
                    .remedy("run daemons of neighbouring versions")
                    .cause(e)
                    .build();
        }
    }

    /**
     * Runs an operation at the owner of a program. It may be repeated without a second effect.
     *
     * @param op show, end or result
     * @param workspace workspace on whose behalf it is made; null for operators
     * @param program the program
     * @param json arguments as a JSON object
     * @return the result as JSON
     */
    public String run(String op, WorkspaceId workspace, ProgramId program, String json) {
        ShardId shard = ShardId.of(program, mConfig.current().shards());
        String owner = workspace == null ? "" : workspace.value();
        ProgramOp message = new ProgramOp(op, owner, program.value(), json);
        long end = mTicker.readMillis() + mSettings.ownerTimeoutMillis();
        while (true) {
            Optional<DaemonInfo> to = mShards.owner(shard);
            if (to.isPresent()) {
                Optional<String> reply = ask(to.get(), message);
                if (reply.isPresent()) {
                    return reply.get();
                }
            }
            if (mTicker.readMillis() >= end) {
                throw CallErrors.ownerUnavailable(shard, true);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            if (new CountDownLatch(1).await(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("a latch that nobody counts down was released");
            }
        } catch (InterruptedException e) {
            throw CallErrors.interrupted(true);
        }
    }

    /** Returns the reply, or empty if another owner has to be asked. */
    private Optional<String> ask(DaemonInfo to, ProgramOp message) {
        try {
            return Optional.of(
                    mNetwork.request(to, message, ProgramOpReply.class, REPLY_TIMEOUT_MILLIS)
                            .get(REPLY_TIMEOUT_MILLIS + 1000, TimeUnit.MILLISECONDS)
                            .json());
        } catch (ExecutionException e) {
            if (e.getCause() instanceof HeathercourseException cause) {
                if (RoutedAnswer.elsewhere(cause.kind())) {
                    return Optional.empty();
                }
                throw cause;
            }
            throw new IllegalStateException("program operation failed", e.getCause());
        } catch (TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            throw CallErrors.interrupted(true);
        }
    }
}
