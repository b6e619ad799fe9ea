package org.heathercourse.core.config;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

/**
 * Lists the differences between two configurations in words that operators can read.
 *
 * <p>Items are matched by identity, so that a change of order is no difference. Digests of keys are
 * not shown. Stateless.
 */
public final class ConfigDiff {
    private final List<String> mLines = new ArrayList<>();

    private ConfigDiff() {}

    /**
     * Compares two configurations; the revision is not compared.
     *
     * @param before the earlier one
     * @param after the later one
     * @return one line for each difference, for instance {@code workspaces[mill].burst: 10.0 ->
     *     20.0}; empty if there is none
     */
    public static List<String> between(DeploymentConfig before, DeploymentConfig after) {
        ConfigDiff diff = new ConfigDiff();
        diff.value("shards", before.shards(), after.shards());
        diff.items("zones", before.zones(), after.zones(), ZoneSpec::zone);
        diff.items("links", before.links(), after.links(), l -> l.from() + "-" + l.to());
        diff.items("workspaces", before.workspaces(), after.workspaces(), WorkspaceSpec::workspace);
        diff.items("services", before.services(), after.services(), ServiceSpec::service);
        diff.items("targets", before.targets(), after.targets(), TargetSpec::target);
        diff.items("vms", before.vms(), after.vms(), VmSpec::vm);
        diff.items(
                "objectives",
                before.objectives(),
                after.objectives(),
                o -> o.service() + (o.workspace() == null ? "" : "/" + o.workspace()));
        diff.record("policy", before.policy(), after.policy());
        return List.copyOf(diff.mLines);
    }

    private <T extends Record> void items(
            String path, List<T> before, List<T> after, Function<T, Object> identity) {
        Map<Object, T> old = index(before, identity);
        Map<Object, T> present = index(after, identity);
        for (Map.Entry<Object, T> entry : old.entrySet()) {
            String at = path + "[" + entry.getKey() + "]";
            T other = present.get(entry.getKey());
            if (other == null) {
                mLines.add(at + ": removed");
            } else {
                record(at, entry.getValue(), other);
            }
        }
        for (Object key : present.keySet()) {
            if (!old.containsKey(key)) {
                mLines.add(path + "[" + key + "]: added");
            }
        }
    }

    private static <T> Map<Object, T> index(List<T> items, Function<T, Object> identity) {
        Map<Object, T> index = new LinkedHashMap<>();
        for (T item : items) {
            index.put(identity.apply(item), item);
        }
        return index;
    }

    private void record(String path, Record before, Record after) {
        for (RecordComponent component : before.getClass().getRecordComponents()) {
            Object old = read(component, before);
            Object present = read(component, after);
            String at = path + "." + component.getName();
            if (component.getName().equals("sha256Hex")) {
                if (!Objects.equals(old, present)) {
                    mLines.add(at + ": changed");
                }
            } else if (!nested(at, old, present)) {
                value(at, old, present);
            }
        }
    }

    /** Compares lists of records by identity; returns false for other values. */
    private boolean nested(String path, Object old, Object present) {
        if (!(old instanceof List<?> before) || !(present instanceof List<?> after)) {
            return false;
        }
        if (path.endsWith(".keys")) {
            items(path, cast(before, KeySpec.class), cast(after, KeySpec.class), KeySpec::keyId);
        } else if (path.endsWith(".models") && path.startsWith("services[")) {
            items(
                    path,
                    cast(before, ModelSpec.class),
                    cast(after, ModelSpec.class),
                    ModelSpec::model);
        } else if (path.endsWith(".routes")) {
            items(
                    path,
                    cast(before, RouteSpec.class),
                    cast(after, RouteSpec.class),
                    r -> r.pathPrefix() + (r.methods().isEmpty() ? "" : " " + r.methods()));
        } else {
            return false;
        }
        return true;
    }

    private static <T> List<T> cast(List<?> items, Class<T> type) {
        return items.stream().map(type::cast).toList();
    }

    private static Object read(RecordComponent component, Record value) {
        try {
            return component.getAccessor().invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot read " + component, e);
        }
    }

    private void value(String path, Object before, Object after) {
        if (!Objects.equals(before, after)) {
            mLines.add(path + ": " + before + " -> " + after);
        }
    }
}
