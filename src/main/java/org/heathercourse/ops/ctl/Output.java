package org.heathercourse.ops.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Format of results: tables for people or JSON for scripts. */
enum Output {
    TABLE {
        @Override
        void printObject(PrintStream out, Map<String, Object> fields) {
            int width = fields.keySet().stream().mapToInt(String::length).max().orElse(0);
            fields.forEach(
                    (name, value) -> {
                        if (value instanceof List<?> list) {
                            list.forEach(item -> printLine(out, name, width, item));
                        } else {
                            printLine(out, name, width, value);
                        }
                    });
        }

        @Override
        void printRows(PrintStream out, List<String> columns, List<List<Object>> rows) {
            int[] widths = new int[columns.size()];
            for (int c = 0; c < widths.length; c++) {
                widths[c] = columns.get(c).length();
                for (List<Object> row : rows) {
                    widths[c] = Math.max(widths[c], String.valueOf(row.get(c)).length());
                }
            }
            printRow(out, columns, widths);
            rows.forEach(row -> printRow(out, row, widths));
        }
    },
    JSON {
        @Override
        void printObject(PrintStream out, Map<String, Object> fields) {
            out.println(toJson(fields));
        }

        @Override
        void printRows(PrintStream out, List<String> columns, List<List<Object>> rows) {
            List<Map<String, Object>> objects = new ArrayList<>();
            for (List<Object> row : rows) {
                Map<String, Object> object = new LinkedHashMap<>();
                for (int c = 0; c < columns.size(); c++) {
                    object.put(columns.get(c), row.get(c));
                }
                objects.add(object);
            }
            out.println(toJson(objects));
        }
    };

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prints named values; a table has one line for each item of a list. */
    abstract void printObject(PrintStream out, Map<String, Object> fields);

    /** Prints rows of values under the given column names. */
    abstract void printRows(PrintStream out, List<String> columns, List<List<Object>> rows);

    private static void printLine(PrintStream out, String name, int width, Object value) {
        out.printf("%-" + Math.max(1, width) + "s  %s%n", name, value);
    }

    private static void printRow(PrintStream out, List<?> values, int[] widths) {
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

    private static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a result cannot be written as JSON", e);
        }
    }
}
