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

/** Finds, reads and replaces configuration files. Stateless and thread-safe. */
final class ServiceFiles {

    /** Name of the configuration file that operators keep next to the code of a service. */
    static final String FILE_NAME = "toucanlane.json";

    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private ServiceFiles() {}

    /** Returns the configuration files in the given folders and their direct subfolders. Also accepts files. */
    static List<Path> find(List<String> folders) throws IOException, CommandFailedException {
        List<Path> found = new ArrayList<>();
        for (String folder : folders) {
            List<Path> files = findInFolder(Path.of(folder));
            if (files.isEmpty()) {
                throw new CommandFailedException(ExitCode.USAGE, "no " + FILE_NAME + " in " + folder);
            }
            found.addAll(files);
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
                    .map(directory -> directory.resolve(FILE_NAME))
                    .filter(Files::isRegularFile)
                    .sorted()
                    .toList();
        }
    }

    /** Parses all files and reports the problems of all of them in one exception. */
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

    /** Validates a file and returns its JSON tree for modification. */
    static ObjectNode readTree(Path file) throws IOException, InvalidConfigurationException {
        String text = Files.readString(file, StandardCharsets.UTF_8);
        ServiceDocument.parse(file.toString(), text);
        return (ObjectNode) JSON.readTree(text);
    }

    /** Validates and atomically replaces a file, so that no reader sees a partial file, even after a crash. */
    static void replace(Path file, ObjectNode tree) throws IOException, InvalidConfigurationException {
        String text = JSON.writeValueAsString(tree) + '\n';
        ServiceDocument.parse(file.toString(), text);
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(temporary, text, StandardCharsets.UTF_8);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
