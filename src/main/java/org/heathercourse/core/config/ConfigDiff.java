package org.heathercourse.core.config;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

/**
 * Computes the differences between two configurations as lines of text for operators.
 *
 * <p>Items are matched by identity, so a changed order is not a difference. Key digests are not
 * included. Each comparison uses an instance of its own; the static method is safe for use by
 * several threads.
 */
public final class ConfigDiff {
    private final List<String> mDifferences = new ArrayList<>();

    private ConfigDiff() {}

    /**
     * Compares two configurations, except for their revisions.
     *
     * @param before the earlier configuration
     * @param after the later configuration
     * @return one line per difference, for instance {@code workspaces[mill].burst: 10.0 -> 20.0};
     *     empty if there are none
     */
    public static List<String> between(DeploymentConfig before, DeploymentConfig after) {
        ConfigDiff diff = new ConfigDiff();
        diff.compareValues("shards", before.shards(), after.shards());
        diff.compareItems("zones", before.zones(), after.zones(), ZoneSpec::zone);
        diff.compareItems("links", before.links(), after.links(), l -> l.from() + "-" + l.to());
        diff.compareItems(
                "workspaces", before.workspaces(), after.workspaces(), WorkspaceSpec::workspace);
        diff.compareItems("services", before.services(), after.services(), ServiceSpec::service);
        diff.compareItems("targets", before.targets(), after.targets(), TargetSpec::target);
        diff.compareItems("vms", before.vms(), after.vms(), VmSpec::vm);
        diff.compareItems(
                "objectives",
                before.objectives(),
                after.objectives(),
                o -> o.service() + (o.workspace() == null ? "" : "/" + o.workspace()));
        diff.compareRecords("policy", before.policy(), after.policy());
        return List.copyOf(diff.mDifferences);
    }

    private <T extends Record> void compareItems(
            String path, List<T> before, List<T> after, Function<T, Object> identity) {
        Map<Object, T> beforeByIdentity = indexByIdentity(before, identity);
        Map<Object, T> afterByIdentity = indexByIdentity(after, identity);
        for (Map.Entry<Object, T> entry : beforeByIdentity.entrySet()) {
            String itemPath = path + "[" + entry.getKey() + "]";
            T counterpart = afterByIdentity.get(entry.getKey());
            if (counterpart == null) {
                mDifferences.add(itemPath + ": removed");
            } else {
                compareRecords(itemPath, entry.getValue(), counterpart);
            }
        }
        for (Object key : afterByIdentity.keySet()) {
            if (!beforeByIdentity.containsKey(key)) {
                mDifferences.add(path + "[" + key + "]: added");
            }
        }
    }

    private static <T> Map<Object, T> indexByIdentity(List<T> items, Function<T, Object> identity) {
        Map<Object, T> index = new LinkedHashMap<>();
        for (T item : items) {
            index.put(identity.apply(item), item);
        }
        return index;
    }

    private void compareRecords(String path, Record before, Record after) {
        for (RecordComponent component : before.getClass().getRecordComponents()) {
            Object oldValue = readComponent(component, before);
            Object newValue = readComponent(component, after);
            String componentPath = path + "." + component.getName();
            if (component.getName().equals("sha256Hex")) {
                if (!Objects.equals(oldValue, newValue)) {
                    mDifferences.add(componentPath + ": changed");
                }
            } else if (!compareNestedItems(componentPath, oldValue, newValue)) {
                compareValues(componentPath, oldValue, newValue);
            }
        }
    }

    /**
     * Compares lists of records by identity. Returns false, without comparing, for other values.
     */
    private boolean compareNestedItems(String path, Object oldValue, Object newValue) {
        if (!(oldValue instanceof List<?> before) || !(newValue instanceof List<?> after)) {
            return false;
        }
        if (path.endsWith(".keys")) {
            compareItems(
                    path,
                    castAll(before, KeySpec.class),
                    castAll(after, KeySpec.class),
                    KeySpec::keyId);
        } else if (path.endsWith(".models") && path.startsWith("services[")) {
            compareItems(
                    path,
                    castAll(before, ModelSpec.class),
                    castAll(after, ModelSpec.class),
                    ModelSpec::model);
        } else if (path.endsWith(".routes")) {
            compareItems(
                    path,
                    castAll(before, RouteSpec.class),
                    castAll(after, RouteSpec.class),
                    r -> r.pathPrefix() + (r.methods().isEmpty() ? "" : " " + r.methods()));
        } else {
            return false;
        }
        return true;
    }

    private static <T> List<T> castAll(List<?> items, Class<T> type) {
        return items.stream().map(type::cast).toList();
    }

    private static Object readComponent(RecordComponent component, Record value) {
        try {
            return component.getAccessor().invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot read " + component, e);
        }
    }

    private void compareValues(String path, Object before, Object after) {
        if (!Objects.equals(before, after)) {
            mDifferences.add(path + ": " + before + " -> " + after);
        }
    }
}
