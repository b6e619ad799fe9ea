package org.heathercourse.testing.hosted;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.heathercourse.testing.hosted.SecondAnswerCaller.Attempt;
import org.heathercourse.testing.hosted.SecondAnswerCaller.Type;
import org.heathercourse.testing.hosted.SecondAnswers.Copy;
import org.heathercourse.testing.hosted.SecondAnswers.Run;

/** Judges what callers received by what targets truly answered. Confined to one thread. */
final class SecondAnswerJudge {
    private static final Pattern SIGNATURE = Pattern.compile("sig-.*-(\\d+)-\\d+");
    private static final Pattern EVENT_RUN = Pattern.compile("data: token \\d+ of (\\d+)\n\n");
    private static final int HTTP_OK = 200;
    private static final Set<String> PROMISE_STATUSES = Set.of("429", "503");

    private final List<Run> mRuns;
    private final List<Copy> mCopies;
    private final Map<String, List<Run>> mExecutedByAttempt;
    private final Map<String, Integer> mAnswers = new TreeMap<>();
    private final Map<String, Integer> mKinds = new TreeMap<>();
    private final Map<Type, Integer> mSuccesses = new EnumMap<>(Type.class);
    private final List<String> mViolations = new ArrayList<>();

    /**
     * Creates a judge.
     *
     * @param answers answers of all targets; none works on a request any more
     */
    SecondAnswerJudge(SecondAnswers answers) {
        mRuns = answers.runs();
        mCopies = answers.copies();
        mExecutedByAttempt =
                mRuns.stream().filter(Run::executed).collect(Collectors.groupingBy(Run::attempt));
    }

    /** Judges an attempt of a caller. */
    void judge(Attempt attempt) {
        if (attempt.problem() != null) {
            report(attempt.problem().split(":")[0], attempt, null);
        }
        judgeExecutions(attempt);
        if (attempt.response() == null) {
            mAnswers.merge("none", 1, Integer::sum);
            return;
        }
        boolean isComplete = attempt.response().isComplete();
        String suffix = isComplete ? "" : " incomplete";
        mAnswers.merge(attempt.response().status() + suffix, 1, Integer::sum);
        if (attempt.isSuccess()) {
            mSuccesses.merge(attempt.type(), 1, Integer::sum);
        }
        if (attempt.signature() != null) {
            judgeSigned(attempt);
        } else if (attempt.isSuccess()) {
            report("success without a signature", attempt, null);
        }
    }

    private void judgeExecutions(Attempt attempt) {
        List<Run> executed = mExecutedByAttempt.getOrDefault(attempt.name(), List.of());
        if (attempt.isPromise() && !executed.isEmpty()) {
            report("refused although a target executed it", attempt, executed.get(0));
        }
        if (!attempt.type().isRepeatable() && executed.size() > 1) {
            report("executed more than once", attempt, executed.get(1));
        }
    }

    private void judgeSigned(Attempt attempt) {
        Matcher signature = SIGNATURE.matcher(attempt.signature());
        if (!signature.matches() || Integer.parseInt(signature.group(1)) >= mRuns.size()) {
            report("signature of no run", attempt, null);
            return;
        }
        Run run = mRuns.get(Integer.parseInt(signature.group(1)));
        int status = attempt.response().status();
        if (!run.signature().equals(attempt.signature())) {
            report("signature of no run", attempt, run);
        } else if (!run.requestId().equals(attempt.requestId())) {
            report("answer to another request", attempt, run);
        } else if (run.status() != status) {
            report(
                    (attempt.isSuccess() ? "success" : "failure") + " for another status",
                    attempt,
                    run);
        } else if (!run.attempt().equals(attempt.name())) {
            report("answer to an earlier attempt", attempt, run);
        } else if (attempt.response().isComplete()
                && !attempt.response().body().equals(expectedBody(attempt, run))) {
            report("body of another answer or not whole", attempt, run);
        }
    }

    /**
     * Returns the body of the run. A stream may go on from other runs of the same attempt after its
     * first event.
     */
    private String expectedBody(Attempt attempt, Run first) {
        if (first.firstEvent() == 0 || first.status() != HTTP_OK) {
            return first.body();
        }
        Matcher eventRun = EVENT_RUN.matcher(attempt.response().body());
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= TargetStandIn.EVENT_COUNT; i++) {
            Run run = eventRun.find() ? runOfEvent(attempt, eventRun.group(1)) : first;
            events.append((i == 1 ? first : run == null ? first : run).event(i));
        }
        return events.toString();
    }

    /** Returns the run that sent an event to the attempt; null if there is none. */
    private Run runOfEvent(Attempt attempt, String number) {
        int index = Integer.parseInt(number);
        boolean isRunOfAttempt =
                index < mRuns.size() && mRuns.get(index).attempt().equals(attempt.name());
        return isRunOfAttempt ? mRuns.get(index) : null;
    }

    private void report(String kind, Attempt attempt, Run run) {
        mKinds.merge(kind, 1, Integer::sum);
        mViolations.add(kind + ": " + attempt + "\n" + history(attempt, run));
    }

    /** Returns what the target did before on the connection of a run. */
    private String history(Attempt attempt, Run of) {
        Run run = of != null ? of : lastRun(attempt);
        if (run == null) {
            return "    no run";
        }
        StringBuilder lines = new StringBuilder();
        for (Run other : mRuns) {
            if (other.connection().equals(run.connection())) {
                lines.append("    run ").append(other).append('\n');
            }
            for (Copy copy : mCopies) {
                if (copy.runsBefore() == other.number() + 1
                        && copy.run().connection().equals(run.connection())) {
                    lines.append("    copy ").append(copy.variant()).append(" of run ");
                    lines.append(copy.run().number()).append(": ");
                    lines.append(copy.text().replace("\r\n", "|")).append('\n');
                }
            }
        }
        return lines.toString();
    }

    private Run lastRun(Attempt attempt) {
        return mRuns.stream()
                .filter(run -> run.attempt().equals(attempt.name()))
                .reduce((first, second) -> second)
                .orElse(null);
    }

    /** Judges whether callers and targets did enough for the other checks to mean something. */
    void judgeCoverage(List<SecondAnswer> variants) {
        for (Type type : Type.values()) {
            if (!mSuccesses.containsKey(type)) {
                mViolations.add("no success of type " + type);
            }
        }
        if (mAnswers.keySet().stream().noneMatch(PROMISE_STATUSES::contains)) {
            mViolations.add("no refusal reached a caller");
        }
        for (SecondAnswer variant : variants) {
            if (mCopies.stream().noneMatch(copy -> copy.variant() == variant)) {
                mViolations.add("no second answer " + variant);
            }
        }
    }

    /** Returns a text for each violation. */
    List<String> violations() {
        return mViolations;
    }

    /** Returns the counts in one line. */
    String summary() {
        Map<SecondAnswer, Long> copies =
                mCopies.stream()
                        .map(Copy::variant)
                        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        return "runs "
                + mRuns.size()
                + ", answers "
                + mAnswers
                + ", successes "
                + mSuccesses
                + ", second answers "
                + new TreeMap<>(copies)
                + ", violations "
                + mKinds;
    }
}
