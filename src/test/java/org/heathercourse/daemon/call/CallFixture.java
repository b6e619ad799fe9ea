package org.heathercourse.daemon.call;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.heathercourse.core.config.DeploymentConfig;
import org.heathercourse.core.config.KeySpec;
import org.heathercourse.core.config.LifecycleState;
import org.heathercourse.core.config.ModelSpec;
import org.heathercourse.core.config.RouteSpec;
import org.heathercourse.core.config.ServiceKind;
import org.heathercourse.core.config.ServiceSpec;
import org.heathercourse.core.config.TargetSpec;
import org.heathercourse.core.config.WorkspaceSpec;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.RequestId;
import org.heathercourse.core.model.RetrySafety;
import org.heathercourse.core.model.ServiceId;
import org.heathercourse.core.model.TargetId;
import org.heathercourse.core.model.WorkspaceId;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.time.Ticker;
import org.heathercourse.daemon.config.ConfigSource;
import org.heathercourse.daemon.peer.PeerMessage;
import org.heathercourse.daemon.peer.PeerMessage.CallChunk;
import org.heathercourse.daemon.peer.PeerMessage.CallEnd;
import org.heathercourse.daemon.peer.PeerMessage.CallHead;
import org.heathercourse.daemon.peer.PeerMessage.ErrorReply;

/** Executor with fakes: two engines, two plain targets, one workspace. */
public final class CallFixture implements AutoCloseable {
    public static final WorkspaceId WORKSPACE = new WorkspaceId("berzins");
    public static final ProgramId PROGRAM = new ProgramId("p-1");

    /** A complete answer as read by a caller; the error is null if it succeeded. */
    public record ObservedAnswer(CallHead head, String body, String durability, ErrorReply error) {}

    public final FakeLog log = new FakeLog();
    public final FakeShards shards;
    public final FakeTargets targets = new FakeTargets();
    public final FakeConfig config = new FakeConfig();
    public final CallSettings settings;
    public final CallDependencies dependencies;
    public final CallExecutor executor;

    /** Creates a fixture with default settings. */
    public CallFixture() {
        this(CallSettings.DEFAULT, FakeShards.ownerOfAll(), Ticker.system());
    }

    /** Creates a fixture. */
    public CallFixture(CallSettings settings, FakeShards shards, Ticker ticker) {
        this.settings = settings;
        this.shards = shards;
        dependencies =
                new CallDependencies(
                        log,
                        shards,
                        config,
                        targets,
                        targets,
                        new StickySelector(config, shards),
                        settings,
                        ticker,
                        new SplittableRandom(42),
                        new DecisionLog(Clock.systemUTC()));
        executor = new CallExecutor(dependencies);
    }

    /** Configuration source without change notifications. */
    public static final class FakeConfig implements ConfigSource {
        public volatile DeploymentConfig now = declared(1_000);

        @Override
        public DeploymentConfig current() {
            return now;
        }

        @Override
        public boolean isFresh() {
            return true;
        }

        @Override
        public void onChange(Consumer<DeploymentConfig> listener) {
            throw new UnsupportedOperationException();
        }
    }

    /** Returns a configuration with the given budget of each program, in tokens. */
    public static DeploymentConfig declared(long budgetTokens) {
        ServiceId models = new ServiceId("models");
        ServiceId orders = new ServiceId("orders");
        return DeploymentConfig.builder()
                .revision(1)
                .workspaces(
                        List.of(
                                new WorkspaceSpec(
                                        WORKSPACE,
                                        List.of(new KeySpec("k", "", false)),
                                        100,
                                        100,
                                        budgetTokens,
                                        1)))
                .services(
                        List.of(
                                new ServiceSpec(
                                        models,
                                        ServiceKind.MODEL,
                                        List.of(new ModelSpec("weave", "1", 1, List.of())),
                                        List.of()),
                                new ServiceSpec(
                                        orders,
                                        ServiceKind.PLAIN,
                                        List.of(),
                                        List.of(
                                                route("/", RetrySafety.IDEMPOTENT, false),
                                                route("/pay", RetrySafety.NON_IDEMPOTENT, false),
                                                route("/open", RetrySafety.IDEMPOTENT, true)))))
                .targets(
                        List.of(
                                target("e-1", models),
                                target("e-2", models),
                                target("t-1", orders),
                                target("t-2", orders)))
                .build();
    }

    private static RouteSpec route(String prefix, RetrySafety safety, boolean open) {
        return new RouteSpec(prefix, List.of(), safety, open, 5000);
    }

    private static TargetSpec target(String name, ServiceId service) {
        return new TargetSpec(
                new TargetId(name),
                service,
                new Zone("z"),
                "http://127.0.0.1:1",
                List.of(),
                true,
                100,
                LifecycleState.UP,
                "");
    }

    /** Returns a model call of the program. */
    public static CallRequest.Builder modelCall(String identity) {
        return CallRequest.builder(CallRequest.Kind.MODEL)
                .workspace(WORKSPACE)
                .program(PROGRAM)
                .request(new RequestId(identity))
                .deadlineMillis(20_000);
    }

    /** Returns a plain call of the program. */
    public static CallRequest.Builder plainCall(String identity, String path) {
        return CallRequest.builder(CallRequest.Kind.PLAIN)
                .workspace(WORKSPACE)
                .program(PROGRAM)
                .request(new RequestId(identity))
                .service(new ServiceId("orders"))
                .method("POST")
                .path(path)
                .deadlineMillis(20_000);
    }

    /** Returns a chat body; messages alternate between user and assistant. */
    public static byte[] chatBody(boolean stream, String... messages) {
        StringBuilder json = new StringBuilder("{\"model\":\"weave\",\"max_tokens\":10,");
        json.append("\"stream\":").append(stream).append(",\"messages\":[");
        for (int i = 0; i < messages.length; i++) {
            json.append(i > 0 ? "," : "").append("{\"role\":\"");
            json.append(i % 2 == 0 ? "user" : "assistant").append("\",\"content\":\"");
            json.append(messages[i]).append("\"}");
        }
        return bytes(json.append("]}").toString());
    }

    /** Returns the bytes of a text. */
    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Runs a call to its end. */
    public ObservedAnswer run(CallRequest.Builder request, byte[] body) {
        return readAnswer(executor.submit(request.build(), body));
    }

    /** Reads an answer to its end. */
    public static ObservedAnswer readAnswer(AnswerBuffer answer) {
        return readAnswer(CallRouter.localAnswer(answer));
    }

    /** Reads an answer to its end; fails if a message takes longer than 20 s. */
    public static ObservedAnswer readAnswer(Answer answer) {
        CallHead head = null;
        StringBuilder body = new StringBuilder();
        try {
            while (true) {
                PeerMessage message = answer.next(20_000);
                if (message instanceof CallHead h) {
                    head = h;
                } else if (message instanceof CallChunk c) {
                    body.append(new String(c.bytes(), StandardCharsets.UTF_8));
                } else if (message instanceof CallEnd e) {
                    return new ObservedAnswer(head, body.toString(), e.durability(), null);
                } else if (message instanceof ErrorReply e) {
                    return new ObservedAnswer(head, body.toString(), null, e);
                } else {
                    throw new AssertionError(
                            "expected a message of the answer within 20 s, got " + message);
                }
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public void close() {
        executor.close();
    }
}
