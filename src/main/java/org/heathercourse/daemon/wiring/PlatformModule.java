package org.heathercourse.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import javax.inject.Singleton;
import org.heathercourse.daemon.operate.TimedTableStore;
import org.heathercourse.daemon.settings.Setting;
import org.heathercourse.daemon.settings.Settings;
import org.heathercourse.platform.EngineClient;
import org.heathercourse.platform.ObjectStore;
import org.heathercourse.platform.PlainClient;
import org.heathercourse.platform.TableStore;
import org.heathercourse.platform.VmList;
import org.heathercourse.platform.WeightStore;
import org.heathercourse.platform.http.HttpEngineClient;
import org.heathercourse.platform.http.HttpObjectStore;
import org.heathercourse.platform.http.HttpPlainClient;
import org.heathercourse.platform.http.HttpSettings;
import org.heathercourse.platform.http.HttpTableStore;
import org.heathercourse.platform.http.HttpTransport;
import org.heathercourse.platform.http.HttpVmList;
import org.heathercourse.platform.http.HttpWeightStore;

/**
 * Provides the clients of external services. Store clients and target clients use separate
 * transports.
 */
@Module
public final class PlatformModule {
    private PlatformModule() {}

    @Provides
    @Singleton
    static TimedTableStore timedTable(Settings settings) {
        return new TimedTableStore(
                new HttpTableStore(storeTransport(settings), settings.text(Setting.TABLE_URL)));
    }

    @Provides
    static TableStore table(TimedTableStore table) {
        return table;
    }

    @Provides
    @Singleton
    static ObjectStore objects(Settings settings) {
        return new HttpObjectStore(storeTransport(settings), settings.text(Setting.OBJECTS_URL));
    }

    @Provides
    @Singleton
    static VmList vmList(Settings settings) {
        return new HttpVmList(storeTransport(settings), settings.text(Setting.VM_LIST_URL));
    }

    @Provides
    @Singleton
    static WeightStore weights(Settings settings) {
        return new HttpWeightStore(storeTransport(settings), settings.text(Setting.WEIGHTS_URL));
    }

    private static HttpTransport storeTransport(Settings settings) {
        long timeoutMillis = settings.number(Setting.STORE_TIMEOUT_MS);
        return new HttpTransport(
                HttpSettings.builder()
                        .connectTimeoutMillis(timeoutMillis)
                        .readTimeoutMillis(timeoutMillis)
                        .writeTimeoutMillis(timeoutMillis)
                        .callTimeoutMillis(timeoutMillis)
                        .build());
    }

    @Provides
    @Singleton
    static HttpTransport targetTransport() {
        return new HttpTransport(HttpSettings.builder().build());
    }

    @Provides
    @Singleton
    static EngineClient engines(HttpTransport transport) {
        return new HttpEngineClient(transport);
    }

    @Provides
    @Singleton
    static PlainClient plain(HttpTransport transport) {
        return new HttpPlainClient(transport);
    }
}
