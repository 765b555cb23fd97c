package org.toucanlane.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.Problem;
import org.toucanlane.domain.configuration.ServiceDocument;

/** Collects operators' files from folders, and changes them. Stateless and thread-safe. */
final class ServiceFiles {

    /** Name of an operator's file beside a service's code. */
    static final String FILE_NAME = "toucanlane.json";

    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private ServiceFiles() {}

    /** Returns the files in the given folders and in their direct subfolders, or the files themselves. */
    static List<Path> find(List<String> folders) throws IOException, CommandFailedException {
        List<Path> found = new ArrayList<>();
        for (String folder : folders) {
            List<Path> here = findInFolder(Path.of(folder));
            if (here.isEmpty()) {
                throw new CommandFailedException(ExitCode.USAGE, "no " + FILE_NAME + " in " + folder);
            }
            found.addAll(here);
        }
        return found;
    }

    private static List<Path> findInFolder(Path folder) throws IOException {
        if (Files.isRegularFile(folder)) {
            return List.of(folder);
        }
        if (!Files.isDirectory(folder)) {
            return List.of();
        }
        try (Stream<Path> children = Files.list(folder)) {
            return Stream.concat(Stream.of(folder), children.filter(Files::isDirectory))
                    .map(place -> place.resolve(FILE_NAME))
                    .filter(Files::isRegularFile)
                    .sorted()
                    .toList();
        }
    }

    /** Parses the files; reports the faults of all of them together. */
    static List<ServiceDocument> read(List<String> folders)
            throws IOException, CommandFailedException, InvalidConfigurationException {
        List<Problem> problems = new ArrayList<>();
        List<ServiceDocument> documents = new ArrayList<>();
        for (Path file : find(folders)) {
            try {
                documents.add(ServiceDocument.parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8)));
            } catch (InvalidConfigurationException e) {
                problems.addAll(e.problems());
            }
        }
        if (!problems.isEmpty()) {
            throw new InvalidConfigurationException(problems);
        }
        return documents;
    }

    /** Returns a file's JSON, to be changed and replaced. */
    static ObjectNode readTree(Path file) throws IOException, InvalidConfigurationException {
        String text = Files.readString(file, StandardCharsets.UTF_8);
        ServiceDocument.parse(file.toString(), text);
        return (ObjectNode) JSON.readTree(text);
    }

    /** Replaces a file whole, so that a reader or a crash never meets half of it. */
    static void replace(Path file, ObjectNode tree) throws IOException, InvalidConfigurationException {
        String text = JSON.writeValueAsString(tree) + '\n';
        ServiceDocument.parse(file.toString(), text);
        Path next = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(next, text, StandardCharsets.UTF_8);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
