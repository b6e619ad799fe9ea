package org.heathercourse.daemon.call;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiFunction;
import java.util.function.IntConsumer;
import org.heathercourse.core.model.Usage;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.PlainClient;
import org.heathercourse.platform.TargetAddress;
import org.heathercourse.platform.TargetException;
import org.heathercourse.platform.TargetFailure;

/** In-memory engines and plain services with scripted attempts. */
public final class FakeTargets implements EngineClient, PlainClient {
    /** Behavior of an engine for one attempt. */
    public interface EngineScript {
        /** Handles one attempt. */
        void run(GenerateRequest request, Listener listener);
    }

    public final List<GenerateRequest> generateRequests = new CopyOnWriteArrayList<>();
    public final List<String> generateTargets = new CopyOnWriteArrayList<>();
    public final List<String> releasedSessions = new CopyOnWriteArrayList<>();
    public final List<Request> plainRequests = new CopyOnWriteArrayList<>();
    public final List<String> plainBodies = new CopyOnWriteArrayList<>();

    /** Runs before the body of a plain request is read, with the number of requests so far. */
    public volatile IntConsumer beforePlainBody = count -> {};

    public final List<EngineScript> nextEngineScripts = new CopyOnWriteArrayList<>();
    public volatile EngineScript engineScript = FakeTargets::answer;
    public volatile BiFunction<TargetAddress, Request, Response> plainScript =
            (address, request) -> okResponse("done");
    public final List<String> sessions = new CopyOnWriteArrayList<>();
    public volatile boolean releaseFails;

    /** Generates an answer of three pieces. */
    public static void answer(GenerateRequest request, Listener listener) {
        String[] pieces = {"one", " two", " three"};
        for (int i = request.resumeFromToken(); i < pieces.length; i++) {
            listener.onToken(i, pieces[i]);
        }
        listener.onComplete("stop", new Usage(3, 3, 0));
    }

    /** Returns a script that fails after the given number of pieces. */
    public static EngineScript breakAfter(int pieces, String text) {
        return (request, listener) -> {
            for (int i = request.resumeFromToken(); i < pieces; i++) {
                listener.onToken(i, i == 0 ? text : " two");
            }
            listener.onFailure(new TargetFailure(TargetFailure.Kind.BROKEN, 0, "cut"));
        };
    }

    /** Returns a complete response with status 200. */
    public static Response okResponse(String body) {
        return new Response(
                200,
                Map.of("Content-Type", List.of("text/plain")),
                new ByteArrayInputStream(body.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns a response whose body fails after its first byte. */
    public static Response brokenResponse() {
        InputStream body =
                new InputStream() {
                    private boolean mRead;

                    @Override
                    public int read() throws IOException {
                        if (mRead) {
                            throw new IOException("cut");
                        }
                        mRead = true;
                        return 'x';
                    }
                };
        return new Response(200, Map.of(), body);
    }

    /** Returns a failure of a kind. */
    public static TargetException failure(TargetAddress address, TargetFailure.Kind kind) {
        return new TargetException(address, new TargetFailure(kind, 0, "scripted"));
    }

    @Override
    public Call generate(TargetAddress target, GenerateRequest request, Listener listener) {
        generateRequests.add(request);
        generateTargets.add(target.target().value());
        EngineScript script =
                nextEngineScripts.isEmpty() ? engineScript : nextEngineScripts.remove(0);
        Thread thread = new Thread(() -> script.run(request, listener));
        thread.setDaemon(true);
        thread.start();
        return () ->
                listener.onFailure(new TargetFailure(TargetFailure.Kind.CANCELLED, 0, "cancelled"));
    }

    @Override
    public Response send(TargetAddress target, Request request) {
        plainRequests.add(request);
        beforePlainBody.accept(plainRequests.size());
        try {
            plainBodies.add(
                    request.body() == null
                            ? ""
                            : new String(request.body().readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw failure(target, TargetFailure.Kind.BROKEN);
        }
        return plainScript.apply(target, request);
    }

    @Override
    public void release(TargetAddress target, String session) {
        if (releaseFails) {
            throw failure(target, TargetFailure.Kind.TIMEOUT);
        }
        releasedSessions.add(target.target() + "/" + session);
    }

    @Override
    public Load load(TargetAddress target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public List<CacheEvent> cacheEvents(TargetAddress target, long afterSequence) {
        throw new UnsupportedOperationException();
    }

    @Override
    public List<String> sessions(TargetAddress target) {
        return List.copyOf(sessions);
    }

    @Override
    public long migrate(TargetAddress from, TargetAddress to, String session) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void order(TargetAddress target, Order order) {
        throw new UnsupportedOperationException();
    }
}
