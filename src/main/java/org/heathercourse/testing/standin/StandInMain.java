package org.heathercourse.testing.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Runs stand-ins as a process until a signal ends it. Prints one JSON line with all addresses on
 * standard output once all ports are open.
 */
public final class StandInMain {
    private final OptionParser mParser = new OptionParser();
    private final OptionSpec<Integer> mTable = portOption("table", "port of the table service");
    private final OptionSpec<Integer> mObjects = portOption("objects", "port of the object store");
    private final OptionSpec<Integer> mVmList = portOption("vm-list", "port of the VM list");
    private final OptionSpec<Integer> mWeights = portOption("weights", "port of the weight store");
    private final OptionSpec<Integer> mControl =
            portOption("control", "port of the control interface");
    private final OptionSpec<String> mEngine =
            textOption("engine", "engine as ID=PORT, ID=PORT:check or ID=PORT:ignore");
    private final OptionSpec<String> mPlain = textOption("plain", "plain service as ID=PORT");
    private final OptionSpec<String> mProxy =
            textOption("proxy", "proxy as NAME=LISTEN:TARGETPORT");
    private final OptionSpec<String> mModel =
            textOption("engine-model", "loaded model; without any, every name is accepted");
    private final OptionSpec<Double> mMsPerToken =
            numberOption("engine-ms-per-token", EngineSettings.DEFAULT.msPerToken());
    private final OptionSpec<Double> mPrefillTokensPerSecond =
            numberOption(
                    "engine-prefill-tokens-per-second",
                    EngineSettings.DEFAULT.prefillTokensPerSecond());
    private final OptionSpec<Double> mMaxBatch =
            numberOption("engine-max-batch", EngineSettings.DEFAULT.maxBatch());
    private final OptionSpec<Double> mCacheTokens =
            numberOption("engine-cache-tokens", EngineSettings.DEFAULT.cacheTokens());
    private final OptionSpec<Double> mLagMillis =
            numberOption("engine-lag-ms", EngineSettings.DEFAULT.lagMillis());
    private final OptionSpec<Double> mVmListLagMillis = numberOption("vm-list-lag-ms", 200);
    private final OptionSpec<Double> mStoreReadsPerSecond =
            numberOption("store-reads-per-second", 0);
    private final OptionSpec<Double> mStoreWritesPerSecond =
            numberOption("store-writes-per-second", 0);
    private final OptionSpec<Double> mWeightBytesPerSecond =
            numberOption("weights-bytes-per-second", 100_000_000);
    private final OptionSpec<Double> mModelBytes = numberOption("model-bytes", 10_000_000);
    private final OptionSpec<Double> mSeed = numberOption("seed", 1);
    private final OptionSpec<Double> mThreads = numberOption("threads", 3);

    private StandInMain() {}

    /**
     * Runs stand-ins; exits with code 2 if a flag is invalid.
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
     * Parses flags.
     *
     * @throws IllegalArgumentException if the value of a flag is malformed
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
                        .storeCapacity(
                                mStoreReadsPerSecond.value(set), mStoreWritesPerSecond.value(set))
                        .weights(
                                mWeightBytesPerSecond.value(set).longValue(),
                                mModelBytes.value(set).longValue())
                        .seed(mSeed.value(set).longValue())
                        .threads(mThreads.value(set).intValue());
        addTargets(builder, set);
        return builder.engineSettings(
                        EngineSettings.DEFAULT
                                .withSpeed(
                                        mMsPerToken.value(set), mPrefillTokensPerSecond.value(set))
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
                    parts[0], Integer.parseInt(port[0]), port.length == 1 || parseFencing(port[1]));
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

    private static boolean parseFencing(String word) {
        if (!word.equals("check") && !word.equals("ignore")) {
            throw new IllegalArgumentException(
                    "fencing is \"" + word + "\", expected check or ignore");
        }
        return word.equals("check");
    }

    private static String[] split(String text, String separator, String expected) {
        String[] parts = text.split(separator, 2);
        if (parts.length != 2) {
            throw new IllegalArgumentException("value is \"" + text + "\", expected " + expected);
        }
        return parts;
    }

    private OptionSpec<Integer> portOption(String name, String description) {
        return mParser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
    }

    private OptionSpec<String> textOption(String name, String description) {
        return mParser.accepts(name, description).withRequiredArg();
    }

    private OptionSpec<Double> numberOption(String name, double defaultValue) {
        return mParser.accepts(name)
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(defaultValue);
    }
}
