package org.toucanlane.domain.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * A configuration file that was validated on its own against the JSON schema.
 *
 * <p>Consistency with other files is validated by {@link FleetConfiguration#assemble}. Immutable.
 */
public final class ServiceDocument {

    /** Maximum file size in bytes; the platform's key-value store holds values of up to one megabyte. */
    public static final int MAX_BYTES = 900_000;

    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final String SCHEMA_RESOURCE = "toucanlane.schema.json";
    private static final Schema SCHEMA = loadSchema();

    private final String fileName;
    private final String text;
    private final ServiceFile file;
    private final LineIndex lines;

    private ServiceDocument(String fileName, String text, ServiceFile file, LineIndex lines) {
        this.fileName = fileName;
        this.text = text;
        this.file = file;
        this.lines = lines;
    }

    private static Schema loadSchema() {
        try (InputStream in = ServiceDocument.class.getResourceAsStream(SCHEMA_RESOURCE)) {
            return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(in, InputFormat.JSON);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses and validates a file.
     *
     * @param fileName file name to report in problems
     * @throws InvalidConfigurationException with all problems, if there are any
     */
    public static ServiceDocument parse(String fileName, String text) throws InvalidConfigurationException {
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_BYTES) {
            throw new InvalidConfigurationException(List.of(new Problem(
                    fileName,
                    1,
                    "the file is larger than " + MAX_BYTES + " bytes",
                    "split it into folders with fewer accounts each")));
        }
        try {
            JsonNode tree = JSON.readTree(text);
            LineIndex lines = LineIndex.of(text);
            List<Problem> problems = SCHEMA.validate(tree).stream()
                    .map(error -> toProblem(fileName, lines, tree, error))
                    .distinct()
                    .toList();
            if (!problems.isEmpty()) {
                throw new InvalidConfigurationException(problems);
            }
            return new ServiceDocument(fileName, text, JSON.treeToValue(tree, ServiceFile.class), lines);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new InvalidConfigurationException(
                    List.of(new Problem(fileName, line, "invalid JSON: " + e.getOriginalMessage(), "")));
        } catch (IOException e) {
            throw new UncheckedIOException("I/O error while parsing text in memory", e);
        }
    }

    private static Problem toProblem(String fileName, LineIndex lines, JsonNode tree, Error error) {
        String pointer = error.getInstanceLocation().toString();
        boolean unknownField = "additionalProperties".equals(error.getKeyword());
        String problemPointer = unknownField ? pointer + '/' + error.getProperty() : pointer;
        String message = unknownField ? "unknown field \"" + error.getProperty() + '"' : error.getMessage();
        String hint = unknownField ? fieldHint(error) : "";
        return new Problem(fileName, lines.lineOf(problemPointer), message, hint);
    }

    private static String fieldHint(Error error) {
        TreeSet<String> known = new TreeSet<>();
        JsonNode properties = knownProperties(error);
        properties.fieldNames().forEachRemaining(known::add);
        Optional<String> suggestion = NameSuggester.suggest(error.getProperty(), known);
        return suggestion
                .map(name -> "did you mean \"" + name + "\"?")
                .orElse("known fields: " + String.join(", ", known));
    }

    private static JsonNode knownProperties(Error error) {
        String location = error.getSchemaLocation().getFragment().toString();
        String parent = location.substring(0, location.lastIndexOf('/'));
        return SCHEMA.getSchemaNode().at(parent).path("properties");
    }

    /** Returns the file's unique name. */
    public String name() {
        return file.name();
    }

    /** Returns the original text of the file. */
    public String text() {
        return text;
    }

    /** Returns the file name that is reported in problems. */
    public String fileName() {
        return fileName;
    }

    /** Returns the SHA-256 hash of the text, in lower-case hexadecimal digits. */
    public String contentHash() {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    ServiceFile file() {
        return file;
    }

    Problem problemAt(String pointer, String message, String hint) {
        return new Problem(fileName, lines.lineOf(pointer), message, hint);
    }

    /** Returns the text of the JSON schema, for use in editors. */
    public static String schemaText() {
        return SCHEMA.getSchemaNode().toPrettyString();
    }

    /** Returns the names of the accounts in the file. */
    public List<String> accountNames() {
        return file.accounts().stream().map(ServiceFile.AccountEntry::name).collect(ImmutableList.toImmutableList());
    }
}
