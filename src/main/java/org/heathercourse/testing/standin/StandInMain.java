package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Runs stand-ins as a process. When everything listens, one JSON line with all addresses is printed
 * on standard output. The process runs until it is ended by a signal.
 */
public final class StandInMain {
    private final OptionParser mParser = new OptionParser();
    private final OptionSpec<Integer> mTable = port("table", "port of the table service");
    private final OptionSpec<Integer> mObjects = port("objects", "port of the object store");
    private final OptionSpec<Integer> mVmList = port("vm-list", "port of the VM list");
    private final OptionSpec<Integer> mWeights = port("weights", "port of the weight store");
    private final OptionSpec<Integer> mControl = port("control", "port of the control interface");
    private final OptionSpec<String> mEngine =
            text("engine", "engine as ID=PORT, ID=PORT:check or ID=PORT:ignore");
    private final OptionSpec<String> mPlain = text("plain", "plain service as ID=PORT");
    private final OptionSpec<String> mProxy = text("proxy", "proxy as NAME=LISTEN:TARGETPORT");
    private final OptionSpec<String> mModel =
            text("engine-model", "loaded model; without any, every name is accepted");
    private final OptionSpec<Double> mMsPerToken =
            number("engine-ms-per-token", EngineSettings.DEFAULT.msPerToken());
    private final OptionSpec<Double> mPrefill =
            number(
                    "engine-prefill-tokens-per-second",
                    EngineSettings.DEFAULT.prefillTokensPerSecond());
    private final OptionSpec<Double> mMaxBatch =
            number("engine-max-batch", EngineSettings.DEFAULT.maxBatch());
    private final OptionSpec<Double> mCacheTokens =
            number("engine-cache-tokens", EngineSettings.DEFAULT.cacheTokens());
    private final OptionSpec<Double> mLagMillis =
            number("engine-lag-ms", EngineSettings.DEFAULT.lagMillis());
    private final OptionSpec<Double> mVmListLagMillis = number("vm-list-lag-ms", 200);
    private final OptionSpec<Double> mStoreReads = number("store-reads-per-second", 0);
    private final OptionSpec<Double> mStoreWrites = number("store-writes-per-second", 0);
    private final OptionSpec<Double> mWeightRate = number("weights-bytes-per-second", 100_000_000);
    private final OptionSpec<Double> mModelBytes = number("model-bytes", 10_000_000);
    private final OptionSpec<Double> mSeed = number("seed", 1);
    private final OptionSpec<Double> mThreads = number("threads", 3);

    private StandInMain() {}

    /**
     * Runs stand-ins.
     *
     * @param args flags
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        StandIns standIns;
        try {
            standIns = StandIns.start(parse(args));
        } catch (OptionException | IllegalArgumentException e) {
            System.err.println("event=bad_flags message=\"" + e.getMessage() + "\"");
            System.exit(2);
            return;
        }
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    standIns.close();
                                    ended.countDown();
                                }));
        ObjectNode ready = Exchange.JSON.createObjectNode().put("event", "ready");
        ready.setAll(standIns.addresses());
        System.out.println(ready);
        System.out.flush();
        ended.await();
    }

    /**
     * Returns the settings that flags stand for.
     *
     * @throws IllegalArgumentException if a value has another form than expected
     */
    static StandInSettings parse(String... args) {
        return new StandInMain().settings(args);
    }

    private StandInSettings settings(String... args) {
        OptionSet set = mParser.parse(args);
        StandInSettings.Builder builder =
                StandInSettings.builder()
                        .ports(
                                mTable.value(set),
                                mObjects.value(set),
                                mVmList.value(set),
                                mWeights.value(set),
                                mControl.value(set))
                        .vmListLagMillis(mVmListLagMillis.value(set).longValue())
                        .storeCapacity(mStoreReads.value(set), mStoreWrites.value(set))
                        .weights(
                                mWeightRate.value(set).longValue(),
                                mModelBytes.value(set).longValue())
                        .seed(mSeed.value(set).longValue())
                        .threads(mThreads.value(set).intValue());
        addTargets(builder, set);
        return builder.engineSettings(
                        EngineSettings.DEFAULT
                                .withSpeed(mMsPerToken.value(set), mPrefill.value(set))
                                .withSizes(
                                        mMaxBatch.value(set).intValue(),
                                        mCacheTokens.value(set).longValue())
                                .withLagMillis(mLagMillis.value(set).longValue())
                                .withModels(mModel.values(set)))
                .build();
    }

    private void addTargets(StandInSettings.Builder builder, OptionSet set) {
        for (String engine : mEngine.values(set)) {
            String[] parts = split(engine, "=", "ID=PORT");
            String[] port = parts[1].split(":");
            builder.engine(
                    parts[0], Integer.parseInt(port[0]), port.length == 1 || checksFence(port[1]));
        }
        for (String plain : mPlain.values(set)) {
            String[] parts = split(plain, "=", "ID=PORT");
            builder.plain(parts[0], Integer.parseInt(parts[1]));
        }
        for (String proxy : mProxy.values(set)) {
            String[] parts = split(proxy, "=", "NAME=LISTEN:TARGETPORT");
            String[] ports = split(parts[1], ":", "LISTEN:TARGETPORT");
            builder.proxy(parts[0], Integer.parseInt(ports[0]), Integer.parseInt(ports[1]));
        }
    }

    private static boolean checksFence(String word) {
        if (!word.equals("check") && !word.equals("ignore")) {
            throw new IllegalArgumentException(
                    "fencing is \"" + word + "\", expected check or ignore");
        }
        return word.equals("check");
    }

    private static String[] split(String text, String separator, String expected) {
        String[] parts = text.split(separator, 2);
        if (parts.length != 2) {
            throw new IllegalArgumentException("met \"" + text + "\", expected " + expected);
        }
        return parts;
    }

    private OptionSpec<Integer> port(String name, String description) {
        return mParser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
    }

    private OptionSpec<String> text(String name, String description) {
        return mParser.accepts(name, description).withRequiredArg();
    }

    private OptionSpec<Double> number(String name, double ifAbsent) {
        return mParser.accepts(name).withRequiredArg().ofType(Double.class).defaultsTo(ifAbsent);
    }
}
