package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.toucanlane.domain.account.KeyHasher;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.ServiceDocument;

/**
 * Issues, withdraws and lists keys in configuration files. Changes take effect when the files are published.
 *
 * <p>A key is printed once, when it is issued. Only its keyed hash is stored.
 */
@Parameters(commandDescription = "issue | withdraw ID | list: keys in the files of FOLDER; publish to put into force")
final class KeyCommand implements Command {

    @Parameter(description = "issue FOLDER... | withdraw ID FOLDER... | list FOLDER...", required = true)
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--account", description = "account that owns the new key")
    private String account;

    @Parameter(names = "--secret-file", description = "file with the secret for hashing keys")
    private String secretFile = System.getenv("TOUCANLANE_KEY_SECRET_FILE");

    @Override
    public ExitCode run(GlobalOptions options, Output out)
            throws CommandFailedException, IOException, InvalidConfigurationException {
        switch (arguments.get(0)) {
            case "issue" -> issue(out, arguments.subList(1, arguments.size()));
            case "withdraw" -> withdraw(out);
            case "list" -> list(options, out, arguments.subList(1, arguments.size()));
            default -> throw new CommandFailedException(ExitCode.USAGE, "key takes issue, withdraw or list");
        }
        return ExitCode.DONE;
    }

    private void issue(Output out, List<String> folders)
            throws CommandFailedException, IOException, InvalidConfigurationException {
        if (account == null) {
            throw new CommandFailedException(ExitCode.USAGE, "issue needs --account");
        }
        KeyHasher hasher = createHasher();
        Path file = findAccountFile(folders);
        ObjectNode tree = ServiceFiles.readTree(file);
        String key = KeyHasher.newKey(new SecureRandom());
        for (JsonNode entry : tree.path("accounts")) {
            if (entry.path("name").asText().equals(account)) {
                ((ObjectNode) entry)
                        .withArray("keys")
                        .addObject()
                        .put("id", KeyHasher.idOf(key).orElseThrow())
                        .put("hash", hasher.hash(key));
            }
        }
        ServiceFiles.replace(file, tree);
        out.printDiagnostic(
                "written to " + file + "; publish it to put the key into force. The key is not shown again:");
        out.printLine(key);
    }

    private KeyHasher createHasher() throws CommandFailedException, IOException {
        if (secretFile == null) {
            throw new CommandFailedException(ExitCode.USAGE, "issue needs --secret-file or TOUCANLANE_KEY_SECRET_FILE");
        }
        return KeyHasher.of(
                Files.readString(Path.of(secretFile), StandardCharsets.UTF_8).strip());
    }

    private Path findAccountFile(List<String> folders)
            throws CommandFailedException, IOException, InvalidConfigurationException {
        for (Path file : ServiceFiles.find(folders)) {
            String text = Files.readString(file, StandardCharsets.UTF_8);
            if (ServiceDocument.parse(file.toString(), text).accountNames().contains(account)) {
                return file;
            }
        }
        throw new CommandFailedException(ExitCode.USAGE, "no file contains the account \"" + account + '"');
    }

    private void withdraw(Output out) throws CommandFailedException, IOException, InvalidConfigurationException {
        if (arguments.size() < 3) {
            throw new CommandFailedException(ExitCode.USAGE, "withdraw takes an ID and folders");
        }
        String id = arguments.get(1);
        for (Path file : ServiceFiles.find(arguments.subList(2, arguments.size()))) {
            ObjectNode tree = ServiceFiles.readTree(file);
            if (removeKey(tree, id)) {
                ServiceFiles.replace(file, tree);
                out.printLine("key " + id + " is out of " + file + "; publish it to withdraw the key");
                return;
            }
        }
        throw new CommandFailedException(ExitCode.USAGE, "no file contains the key \"" + id + '"');
    }

    private static boolean removeKey(ObjectNode tree, String id) {
        boolean removed = false;
        for (JsonNode entry : tree.path("accounts")) {
            if (entry.path("keys") instanceof ArrayNode keys) {
                Iterator<JsonNode> iterator = keys.elements();
                while (iterator.hasNext()) {
                    if (iterator.next().path("id").asText().equals(id)) {
                        iterator.remove();
                        removed = true;
                    }
                }
            }
        }
        return removed;
    }

    private static void list(GlobalOptions options, Output out, List<String> folders)
            throws CommandFailedException, IOException, InvalidConfigurationException {
        List<List<String>> rows = new ArrayList<>();
        for (Path file : ServiceFiles.find(folders)) {
            JsonNode tree = ServiceFiles.readTree(file);
            tree.path("accounts")
                    .forEach(entry -> entry.path("keys")
                            .forEach(key -> rows.add(List.of(
                                    key.path("id").asText(), entry.path("name").asText(), file.toString()))));
        }
        if (options.isJson()) {
            out.printJson(rows);
        } else {
            out.printTable(List.of("KEY", "ACCOUNT", "FILE"), rows);
        }
    }
}
