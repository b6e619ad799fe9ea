package org.heathercourse.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.heathercourse.core.crash.CrashEntry;
import org.heathercourse.core.crash.CrashTable;
import org.heathercourse.core.crash.RequestDigest;
import org.heathercourse.gateway.control.CrashTableEditor;

/**
 * Prints requests that crash engines, as lines of {@code name=value} pairs or as JSON. Times are in
 * UTC. Not safe for use by several threads.
 */
final class CrashesPrinter {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PrintStream mOut;
    private final boolean mJson;

    /**
     * Creates a printer.
     *
     * @param out receives the output
     * @param json whether to print JSON instead of lines for people
     */
    CrashesPrinter(PrintStream out, boolean json) {
        mOut = out;
        mJson = json;
    }

    /** Prints all entries of a table, those that are quarantined first. */
    void printTable(CrashTable table) {
        List<Map<String, Object>> rows =
                table.entries().stream()
                        .map(entry -> describe(entry, table))
                        .sorted(Comparator.comparing(row -> !row.get("quarantined").equals(true)))
                        .toList();
        if (mJson) {
            printJson(rows);
        } else if (rows.isEmpty()) {
            mOut.println("no crashes are recorded");
        } else {
            rows.forEach(row -> mOut.println(line(row)));
        }
    }

    /** Prints what was cleared, and which requests are quarantined since. */
    void printCleared(CrashTableEditor.Cleared cleared) {
        List<Map<String, Object>> rows =
                cleared.entries().stream().map(CrashesPrinter::describe).toList();
        List<String> newlyQuarantined = cleared.newlyQuarantined().stream().sorted().toList();
        if (mJson) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("cleared", rows);
            fields.put("newly_quarantined", newlyQuarantined);
            printJson(fields);
            return;
        }
        if (rows.isEmpty()) {
            mOut.println("no crashes are recorded, nothing was cleared");
        }
        rows.forEach(row -> mOut.println("cleared " + line(row)));
        newlyQuarantined.forEach(digest -> mOut.println("newly quarantined digest=" + digest));
    }

    private static Map<String, Object> describe(CrashEntry entry) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("digest", entry.digest());
        fields.put("crashes", entry.targets().size());
        fields.put("independent_crashes", entry.independentCrashCount());
        fields.put("engines", entry.targets());
        fields.put("last_crash", Instant.ofEpochMilli(entry.lastCrashMillis()).toString());
        return fields;
    }

    private static Map<String, Object> describe(CrashEntry entry, CrashTable table) {
        RequestDigest digest = new RequestDigest(entry.digest());
        boolean quarantined = table.isQuarantined(digest);
        long endMillis = table.quarantineEndMillis(digest);
        Map<String, Object> fields = describe(entry);
        fields.put("quarantined", quarantined);
        fields.put(
                "quarantine_end", quarantined ? Instant.ofEpochMilli(endMillis).toString() : null);
        return fields;
    }

    private static String line(Map<String, Object> fields) {
        return fields.entrySet().stream()
                .map(field -> field.getKey() + "=" + text(field.getValue()))
                .collect(Collectors.joining(" "));
    }

    private static String text(Object value) {
        if (value instanceof Iterable<?> items) {
            StringBuilder joined = new StringBuilder();
            items.forEach(item -> joined.append(joined.isEmpty() ? "" : ",").append(item));
            return joined.toString();
        }
        return value == null ? "-" : value.toString();
    }

    private void printJson(Object value) {
        try {
            mOut.println(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a result cannot be written as JSON", e);
        }
    }
}
