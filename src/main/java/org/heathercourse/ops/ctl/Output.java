package org.heathercourse.ops.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** How results are shown: as tables for people or as JSON for scripts. */
enum Output {
    TABLE {
        @Override
        void object(PrintStream out, Map<String, Object> fields) {
            int width = fields.keySet().stream().mapToInt(String::length).max().orElse(0);
            fields.forEach(
                    (name, value) -> {
                        if (value instanceof List<?> list) {
                            list.forEach(item -> line(out, name, width, item));
                        } else {
                            line(out, name, width, value);
                        }
                    });
        }

        @Override
        void rows(PrintStream out, List<String> columns, List<List<Object>> rows) {
            int[] widths = new int[columns.size()];
            for (int c = 0; c < widths.length; c++) {
                widths[c] = columns.get(c).length();
                for (List<Object> row : rows) {
                    widths[c] = Math.max(widths[c], String.valueOf(row.get(c)).length());
                }
            }
            row(out, columns, widths);
            rows.forEach(row -> row(out, row, widths));
        }
    },
    JSON {
        @Override
        void object(PrintStream out, Map<String, Object> fields) {
            out.println(json(fields));
        }

        @Override
        void rows(PrintStream out, List<String> columns, List<List<Object>> rows) {
            List<Map<String, Object>> objects = new ArrayList<>();
            for (List<Object> row : rows) {
                Map<String, Object> object = new LinkedHashMap<>();
                for (int c = 0; c < columns.size(); c++) {
                    object.put(columns.get(c), row.get(c));
                }
                objects.add(object);
            }
            out.println(json(objects));
        }
    };

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prints named values; a list prints one line for each item. */
    abstract void object(PrintStream out, Map<String, Object> fields);

    /** Prints rows of values. */
    abstract void rows(PrintStream out, List<String> columns, List<List<Object>> rows);

    private static void line(PrintStream out, String name, int width, Object value) {
        out.printf("%-" + Math.max(1, width) + "s  %s%n", name, value);
    }

    private static void row(PrintStream out, List<?> values, int[] widths) {
        StringBuilder text = new StringBuilder();
        for (int c = 0; c < widths.length; c++) {
            String value = String.valueOf(values.get(c));
            text.append(value);
            if (c < widths.length - 1) {
                text.append(" ".repeat(widths[c] - value.length() + 2));
            }
        }
        out.println(text);
    }

    private static String json(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a result cannot be written as JSON", e);
        }
    }
}
