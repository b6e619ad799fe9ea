package org.heathercourse.core.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.heathercourse.core.load.LoadBoard.Source;
import org.heathercourse.core.load.OwnWork.Outcome;
import org.heathercourse.core.load.SimulatedEngine.Job;
import org.heathercourse.core.model.Zone;
import org.heathercourse.core.target.LocalWaitEstimator;
import org.heathercourse.core.target.Target;
import org.heathercourse.core.target.TargetLoad;
import org.heathercourse.core.target.TargetSelector;
import org.heathercourse.core.target.TargetSelector.SelectionContext;
import org.heathercourse.core.target.WaitEstimator;
import org.heathercourse.core.time.SuspendAwareClock;
import org.heathercourse.core.time.SuspendAwareClock.Timestamp;
import org.heathercourse.core.time.TestTime;

/**
 * Gateways of three zones in front of engines of different speed, under demand that swings between
 * the zones, with a burst. Programs of several turns have growing prompts.
 */
final class FleetSimulation {
    static final long END_MILLIS = 40_000;
    static final long BURST_START_MILLIS = 14_000;
    static final long BURST_END_MILLIS = 18_000;
    static final double OBJECTIVE_MILLIS = 1_000;

    private static final int ZONES = 3;
    private static final int GATEWAYS_PER_ZONE = 21;
    private static final int ENGINES_PER_ZONE = 6;
    private static final int SLOTS = 8;
    private static final double[] SPEEDS = {0.7, 0.7, 1.7};
    private static final int PROGRAMS_PER_ZONE = 150;
    private static final int OUTPUT_TOKENS = 30;
    private static final int MEAN_PROMPT_TOKENS = 6_000;
    private static final double BURST_RATIO = 2.2;
    private static final double SWING_RATIO = 0.55;
    private static final double SWING_MILLIS = 17_000;
    private static final long REPORT_MILLIS = 400;

    /** How the gateways know the load of the targets, and what fails. */
    enum Mode {
        TODAY,
        OWN_LOAD_WITH_DISPLACEMENT_COST,
        SHARED,
        OWNER_LOST,
        OWNER_SUSPENDED,
        OLD_REPLIES,
        HALF_RESTARTED
    }

    /** Requests within their objective, of those with short and with long prompts. */
    record Result(
            int shortMet,
            int shortAll,
            int longMet,
            int longAll,
            double busiestRatio,
            double preferredShare) {
        double shortShare() {
            return (double) shortMet / shortAll;
        }

        double longShare() {
            return (double) longMet / longAll;
        }

        double metShare() {
            return (double) (shortMet + longMet) / (shortAll + longAll);
        }

        @Override
        public String toString() {
            return String.format(
                    "short %.4f of %d, long %.4f of %d, busiest %.2f, preferred %.2f",
                    shortShare(), shortAll, longShare(), longAll, busiestRatio, preferredShare);
        }
    }

    private static final class Program {
        final String mId;
        final int mTurns;
        int mTurn;
        int mPromptTokens;
        int mInputTokens;
        boolean mBusy;

        Program(String id, int turns) {
            mId = id;
            mTurns = turns;
        }
    }

    private final class Gateway {
        final int mZone;
        final String mName;
        final SplittableRandom mRandom;
        long mIncarnation = 1;
        OwnWork mOwn = new OwnWork();
        Map<String, TargetLoad> mLoads = new HashMap<>();
        SharedLoad mShared;
        WaitEstimate mEstimate;
        TargetSelector mSelector;
        boolean mWorked;

        Gateway(int zone, int number, long seed) {
            mZone = zone;
            mName = "g" + number;
            mRandom = new SplittableRandom(seed);
            createSelector();
        }

        void createSelector() {
            mEstimate = new WaitEstimate(() -> mShared, mOwn, mClock, mRandom, fallback());
            mSelector = new TargetSelector(zone(mZone), mRandom.split(), mEstimate);
        }

        /** Returns today's estimate, which one mode extends by the cost of displaced prompts. */
        WaitEstimator fallback() {
            WaitEstimator local = new LocalWaitEstimator();
            if (mMode != Mode.OWN_LOAD_WITH_DISPLACEMENT_COST) {
                return local;
            }
            return (target, load, preferred, context) -> {
                double ratio = 3 + 2.0 * load.inFlight() * GATEWAYS_PER_ZONE;
                double millis = EngineCost.promptMillis(context.promptTokens()) * ratio;
                double wait = local.waitMillis(target, load, preferred, context);
                return preferred ? wait : wait + millis;
            };
        }

        void restart() {
            mIncarnation++;
            mOwn = new OwnWork();
            mLoads = new HashMap<>();
            mShared = null;
            createSelector();
        }

        TargetLoad load(Target target) {
            return mLoads.computeIfAbsent(target.id(), id -> new TargetLoad());
        }
    }

    private final Mode mMode;
    private final double mPerSecond;
    private final boolean mPrioritizes;
    private final SplittableRandom mRandom;
    private final TestTime mTime = new TestTime();
    private final SuspendAwareClock mClock;
    private final List<SimulatedEngine> mEngines = new ArrayList<>();
    private final List<Target> mTargets = new ArrayList<>();
    private final List<Gateway> mGateways = new ArrayList<>();
    private final List<LoadBoard> mBoards = new ArrayList<>();
    private final List<List<Program>> mPrograms = new ArrayList<>();
    private final int[] mMet = new int[2];
    private final int[] mAll = new int[2];
    private double mBusiestSum;
    private long mBusiestCount;
    private long mNow;
    private long mNumber;
    long mPreferred;
    long mDispatched;

    FleetSimulation(Mode mode, double perSecond, boolean prioritizes, long seed) {
        mMode = mode;
        mPerSecond = perSecond;
        mPrioritizes = prioritizes;
        mRandom = new SplittableRandom(seed);
        mClock = mTime.suspendAwareClock();
        for (int zone = 0; zone < ZONES; zone++) {
            mBoards.add(new LoadBoard(mClock));
            List<Program> programs = new ArrayList<>();
            mPrograms.add(programs);
            for (int i = 0; i < PROGRAMS_PER_ZONE; i++) {
                programs.add(newProgram());
            }
            for (int i = 0; i < ENGINES_PER_ZONE; i++) {
                String id = "e" + zone + i;
                Target target = new Target(id, 1, "s", "10.0.0.1", 80, zone(zone), SLOTS, false);
                mTargets.add(target);
                mEngines.add(new SimulatedEngine(target, SPEEDS[i % SPEEDS.length]));
            }
            for (int i = 0; i < GATEWAYS_PER_ZONE; i++) {
                mGateways.add(new Gateway(zone, mGateways.size(), mRandom.nextLong()));
            }
        }
    }

    private static Zone zone(int zone) {
        return new Zone("z" + zone);
    }

    private Program newProgram() {
        return new Program("p" + mRandom.nextLong(), 3 + mRandom.nextInt(12));
    }

    Result run() {
        for (mNow = 0; mNow < END_MILLIS; mNow++) {
            mTime.advanceMillis(1);
            if (mNow == 8_000) {
                mEngines.get(0).stall(mNow + 1_500);
            }
            fail();
            for (int zone = 0; zone < ZONES; zone++) {
                if (mRandom.nextDouble() < arrivalsPerMilli(zone)) {
                    arrive(zone);
                }
            }
            mEngines.forEach(engine -> engine.step(mNow));
            if (mMode != Mode.TODAY && mMode != Mode.OWN_LOAD_WITH_DISPLACEMENT_COST) {
                share();
            }
            recordBusiest();
        }
        return new Result(
                mMet[0],
                mAll[0],
                mMet[1],
                mAll[1],
                mBusiestSum / Math.max(1, mBusiestCount),
                (double) mPreferred / mDispatched);
    }

    private void recordBusiest() {
        double mean = mEngines.stream().mapToInt(SimulatedEngine::size).average().orElse(0);
        if (mean > 1) {
            mBusiestSum += mEngines.stream().mapToInt(SimulatedEngine::size).max().orElse(0) / mean;
            mBusiestCount++;
        }
    }

    private double arrivalsPerMilli(int zone) {
        double phase = 2 * Math.PI * (mNow / SWING_MILLIS + (double) zone / ZONES);
        double swing = 1 + SWING_RATIO * Math.sin(phase);
        boolean bursts = mNow >= BURST_START_MILLIS && mNow < BURST_END_MILLIS;
        return mPerSecond / ZONES / 1_000 * swing * (bursts ? BURST_RATIO : 1);
    }

    private void fail() {
        boolean begins = mNow == BURST_START_MILLIS;
        if (begins && mMode == Mode.OWNER_LOST) {
            mBoards.set(0, new LoadBoard(mClock));
        }
        if (begins && mMode == Mode.HALF_RESTARTED) {
            for (int i = 0; i < mGateways.size(); i += 2) {
                mGateways.get(i).restart();
            }
        }
    }

    /** Returns whether the owner of a zone does not reply: 1.5 s until others know of its loss. */
    private boolean isSilent(int zone) {
        long sinceMillis = mNow - BURST_START_MILLIS;
        return zone == 0
                && (mMode == Mode.OWNER_LOST && sinceMillis >= 0 && sinceMillis < 1_500
                        || mMode == Mode.OWNER_SUSPENDED
                                && sinceMillis >= 0
                                && sinceMillis < 6_000);
    }

    private void share() {
        for (int i = 0; i < mGateways.size(); i++) {
            Gateway gateway = mGateways.get(i);
            if ((mNow + i * 19L) % REPORT_MILLIS == 0) {
                report(gateway);
            }
        }
        for (int from = 0; from < ZONES; from++) {
            for (int to = 0; to < ZONES; to++) {
                boolean due = (mNow + from * 100L) % REPORT_MILLIS == 0;
                if (due && from != to && !isSilent(from) && !isSilent(to)) {
                    mBoards.get(to)
                            .record(Source.ZONE, "z" + from, 1, mBoards.get(from).zoneSum().work());
                }
            }
        }
    }

    private void report(Gateway gateway) {
        Map<String, TargetWork> own = gateway.mOwn.snapshot(mNow);
        boolean worksNow = !own.isEmpty();
        if (!worksNow && !gateway.mWorked || isSilent(gateway.mZone)) {
            return;
        }
        gateway.mWorked = worksNow;
        LoadBoard board = mBoards.get(gateway.mZone);
        board.record(Source.GATEWAY, gateway.mName, gateway.mIncarnation, own);
        LoadBoard.Sum sum = board.sumOfOthers(gateway.mName);
        Map<String, TargetWork> all = new HashMap<>(sum.work());
        own.forEach((target, work) -> all.merge(target, work, TargetWork::plus));
        Timestamp now = mClock.now();
        long delayMillis = mMode == Mode.OLD_REPLIES ? 5_000 : 0;
        gateway.mShared =
                new SharedLoad(
                        sum.work(),
                        SpeedTable.of(all, target -> "s"),
                        new Timestamp(
                                now.tickerMillis() - delayMillis, now.wallMillis() - delayMillis),
                        sum.ageMillis(),
                        sum.collectingMillis());
    }

    private void arrive(int zone) {
        List<Program> programs = mPrograms.get(zone);
        int index = mRandom.nextInt(programs.size());
        Program program = programs.get(index);
        int input = 300 + mRandom.nextInt(1_700);
        Gateway gateway =
                mGateways.get(zone * GATEWAYS_PER_ZONE + mRandom.nextInt(GATEWAYS_PER_ZONE));
        if (program.mBusy) {
            return;
        }
        if (program.mTurn >= program.mTurns) {
            program = newProgram();
            programs.set(index, program);
        }
        program.mTurn++;
        program.mInputTokens = input + input * program.mTurn / 3;
        program.mPromptTokens += program.mInputTokens;
        program.mBusy = true;
        dispatch(gateway, program);
    }

    private void dispatch(Gateway gateway, Program program) {
        int prompt = program.mPromptTokens;
        SelectionContext context =
                new SelectionContext(program.mId, prompt, GATEWAYS_PER_ZONE, mNow);
        Target target =
                gateway.mSelector.select(mTargets, id -> true, gateway::load, context).get();
        TargetLoad load = gateway.load(target);
        load.recordStart();
        boolean isPreferred = gateway.mSelector.isPreferred(mTargets, target, context);
        if (isPreferred) {
            mPreferred++;
        }
        mDispatched++;
        int work = isPreferred ? program.mInputTokens : prompt;
        OwnWork.Ticket ticket =
                gateway.mOwn.begin(
                        target,
                        work,
                        OUTPUT_TOKENS,
                        gateway.mEstimate.expectedMillis(target, work, OUTPUT_TOKENS, mNow),
                        mNow);
        long arrived = mNow;
        int priority =
                mPrioritizes && mMode != Mode.TODAY
                        ? SizePriority.of(
                                1,
                                new SizePriority.Request(
                                        work, (long) OBJECTIVE_MILLIS, 0, Long.MAX_VALUE))
                        : 1;
        mEngines.get(mTargets.indexOf(target))
                .submit(
                        new Job(
                                program.mId,
                                prompt,
                                OUTPUT_TOKENS,
                                priority,
                                mNumber++,
                                ticket::recordAnswerBegun,
                                job -> {
                                    load.recordSuccess(mNow - arrived);
                                    ticket.end(Outcome.ANSWERED, mNow);
                                    program.mBusy = false;
                                    int kind = prompt > 2 * MEAN_PROMPT_TOKENS ? 1 : 0;
                                    mAll[kind]++;
                                    mMet[kind] += mNow - arrived <= OBJECTIVE_MILLIS ? 1 : 0;
                                }));
    }
}
