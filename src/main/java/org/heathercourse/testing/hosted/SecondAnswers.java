package org.heathercourse.testing.hosted;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Decides what targets answer that answer requests twice, and records it. One object may serve
 * several targets. Thread-safe.
 */
public final class SecondAnswers {
    /** Header that names the attempt of a caller; the gateway forwards it as any other. */
    public static final String ATTEMPT_HEADER = "X-Soak-Attempt";

    private static final int MAX_ANSWER_DELAY_MILLIS = 60;
    private static final int MAX_EVENT_INTERVAL_MILLIS = 20;
    private static final int MAX_SHORT_COPY_DELAY_MILLIS = 10;
    private static final int MAX_COPY_DELAY_MILLIS = 500;

    /** One of this number of answers is written for the second time. */
    private static final int ANSWERS_PER_COPY = 3;

    /** One of this number of refused attempts is refused in all its runs. */
    private static final int REFUSALS_PER_LASTING_REFUSAL = 8;

    private final SplittableRandom mRandom;
    private final List<SecondAnswer> mVariants;
    private final List<Run> mRuns = new ArrayList<>();
    private final List<Copy> mCopies = new ArrayList<>();
    private final Set<String> mRefusedAttempts = new HashSet<>();

    /** Status of a true answer. */
    private enum TrueStatus {
        SUCCESS(200, 3),
        FAILURE(500, 1),
        REFUSAL(503, 1);

        private static final int TOTAL_WEIGHT = 5;

        private final int mCode;
        private final int mWeight;

        TrueStatus(int code, int weight) {
            mCode = code;
            mWeight = weight;
        }

        static int draw(SplittableRandom random) {
            int rest = random.nextInt(TOTAL_WEIGHT);
            for (TrueStatus status : values()) {
                rest -= status.mWeight;
                if (rest < 0) {
                    return status.mCode;
                }
            }
            throw new IllegalStateException("the weights do not add up");
        }
    }

    /**
     * A request that a target received, and its true answer.
     *
     * @param number number of the run, unique among all targets
     * @param connection identity of the connection
     * @param requestId identity of the request
     * @param attempt attempt of the caller
     * @param status status of the true answer
     * @param firstEvent number of the first event of a stream; 0 if the body is not a stream
     */
    public record Run(
            int number,
            String connection,
            String requestId,
            String attempt,
            int status,
            int firstEvent) {
        /** Returns whether the target executed the request. */
        public boolean executed() {
            return status != TrueStatus.REFUSAL.mCode;
        }

        /** Returns the signature of the answer. */
        public String signature() {
            return "sig-" + requestId + "-" + number + "-" + status;
        }

        /** Returns the body of the answer if it is not a stream. */
        public String body() {
            return "answer to " + requestId + " in run " + number;
        }

        /** Returns an event of the stream. */
        public String event(int eventNumber) {
            return "id: " + eventNumber + "\ndata: token " + eventNumber + " of " + number + "\n\n";
        }

        String idLine() {
            return TargetStandIn.REQUEST_ID_HEADER + ": " + requestId + "\r\n";
        }

        String signatureLine() {
            return "X-Heathercourse-Response-Signature: " + signature() + "\r\n";
        }

        private String headStart() {
            String refusalLine = executed() ? "" : "X-Heathercourse-Not-Executed: 1\r\n";
            HttpResponseStatus line = HttpResponseStatus.valueOf(status);
            return "HTTP/1.1 " + line + "\r\n" + signatureLine() + idLine() + refusalLine;
        }

        /** Returns the true answer in the parts that are written one after another. */
        List<String> parts() {
            if (firstEvent == 0 || status != TrueStatus.SUCCESS.mCode) {
                String lengthLine = "Content-Length: " + body().length() + "\r\n\r\n";
                return List.of(headStart() + lengthLine + body());
            }
            List<String> parts = new ArrayList<>();
            parts.add(
                    headStart()
                            + "Content-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = firstEvent; i <= TargetStandIn.EVENT_COUNT; i++) {
                parts.add(Integer.toHexString(event(i).length()) + "\r\n" + event(i) + "\r\n");
            }
            parts.add("0\r\n\r\n");
            return parts;
        }

        /** Returns the bytes of the true answer. */
        String text() {
            return String.join("", parts());
        }
    }

    /**
     * A second answer that was written.
     *
     * @param variant its variant
     * @param run the run that it is a copy of
     * @param runsBefore number of runs of all targets that began before it was written
     * @param text its bytes
     */
    public record Copy(SecondAnswer variant, Run run, int runsBefore, String text) {}

    /**
     * Creates a record without runs.
     *
     * @param random source of choices
     * @param variants variants to choose from
     */
    public SecondAnswers(SplittableRandom random, List<SecondAnswer> variants) {
        mRandom = random;
        mVariants = List.copyOf(variants);
    }

    synchronized Run begin(String connection, FullHttpRequest request) {
        HttpHeaders headers = request.headers();
        String attempt = headers.get(ATTEMPT_HEADER, "none");
        boolean streaming = request.uri().contains("stream");
        int lastEvent = Integer.parseInt(headers.get("Last-Event-Id", "0"));
        Run run =
                new Run(
                        mRuns.size(),
                        connection,
                        headers.get(TargetStandIn.REQUEST_ID_HEADER, "none"),
                        attempt,
                        drawStatus(attempt),
                        streaming ? lastEvent + 1 : 0);
        mRuns.add(run);
        return run;
    }

    /** Draws the status of a run; callers receive a refusal only if each run is refused. */
    private int drawStatus(String attempt) {
        int status = TrueStatus.draw(mRandom);
        if (status == TrueStatus.REFUSAL.mCode
                && mRandom.nextInt(REFUSALS_PER_LASTING_REFUSAL) == 0) {
            mRefusedAttempts.add(attempt);
        }
        return mRefusedAttempts.contains(attempt) ? TrueStatus.REFUSAL.mCode : status;
    }

    synchronized int drawAnswerDelayMillis() {
        return mRandom.nextInt(MAX_ANSWER_DELAY_MILLIS);
    }

    synchronized int drawEventIntervalMillis() {
        return mRandom.nextInt(MAX_EVENT_INTERVAL_MILLIS);
    }

    synchronized int drawCopyDelayMillis() {
        return mRandom.nextInt(
                mRandom.nextBoolean() ? MAX_SHORT_COPY_DELAY_MILLIS : MAX_COPY_DELAY_MILLIS);
    }

    synchronized boolean drawWhetherToCopy() {
        return mRandom.nextInt(ANSWERS_PER_COPY) == 0;
    }

    /** Draws the second answer of a run that is written now, and records it. */
    synchronized String copy(Run run) {
        SecondAnswer variant = mVariants.get(mRandom.nextInt(mVariants.size()));
        String text = variant.text(run, mRandom);
        mCopies.add(new Copy(variant, run, mRuns.size(), text));
        return text;
    }

    /** Returns all runs in the order in which they began. */
    public synchronized List<Run> runs() {
        return List.copyOf(mRuns);
    }

    /** Returns all second answers in the order in which they were written. */
    public synchronized List<Copy> copies() {
        return List.copyOf(mCopies);
    }
}
