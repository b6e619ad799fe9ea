package org.heathercourse.testing.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A program of a trace. Immutable.
 *
 * @param program identity of the program
 * @param workspace workspace that it belongs to
 * @param requestClass class of its calls
 * @param history mode in which calls send the history: full or append
 * @param budgetTokens token budget
 * @param steps steps in order of execution
 */
public record TraceProgram(
        String program,
        String workspace,
        @JsonProperty("class") String requestClass,
        String history,
        @JsonProperty("budget_tokens") long budgetTokens,
        List<TraceStep> steps) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Reads a trace file with one JSON object for a program on each line.
     *
     * @param path path of the file
     * @return the programs in the order of the file
     * @throws IOException if the file cannot be read or parsed
     */
    public static List<TraceProgram> read(Path path) throws IOException {
        List<TraceProgram> programs = new ArrayList<>();
        for (String line : Files.readAllLines(path)) {
            if (!line.isBlank()) {
                programs.add(MAPPER.readValue(line, TraceProgram.class));
            }
        }
        return programs;
    }

    /** Returns a copy with another program identity and workspace. */
    public TraceProgram withIdentity(String newProgram, String newWorkspace) {
        return new TraceProgram(
                newProgram, newWorkspace, requestClass, history, budgetTokens, steps);
    }

    /** Returns the program of a sub-agent, in the same workspace and request class. */
    TraceProgram child(String name, long budget, TraceStep.Agent agent) {
        return new TraceProgram(name, workspace, requestClass, history, budget, agent.steps());
    }
}
