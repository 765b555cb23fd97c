package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the service folders of a generated configuration of any size. Not thread-safe. */
final class ConfigurationGenerator {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ACCOUNTS_PER_FILE = 250;

    private final Path root;

    ConfigurationGenerator(Path root) {
        this.root = root;
    }

    Path root() {
        return root;
    }

    /**
     * Writes regions with one data centre each, named {@code r0-a}, {@code r1-a} and so on, and distributes the hosts
     * round-robin over them.
     */
    ConfigurationGenerator regions(int regionCount, int hostCount) throws IOException {
        ObjectNode document = JSON.createObjectNode().put("name", "fleet");
        ArrayNode regionEntries = document.putArray("regions");
        for (int r = 0; r < regionCount; r++) {
            ObjectNode dataCentre = regionEntries
                    .addObject()
                    .put("name", "r" + r)
                    .putArray("dataCentres")
                    .addObject()
                    .put("name", "r" + r + "-a");
            ArrayNode hostNames = dataCentre.putArray("hosts");
            for (int h = r; h < hostCount; h += regionCount) {
                hostNames.add("h" + h);
            }
        }
        return write("fleet", document);
    }

    /** Writes a model service with one engine per given data centre, all serving the model {@code m}. */
    ConfigurationGenerator modelService(int capacity, String... dataCentres) throws IOException {
        ObjectNode document = endpoints("model", "e", capacity, dataCentres);
        document.putArray("routes")
                .addObject()
                .put("name", "chat")
                .putArray("models")
                .add("m");
        return write("model", document);
    }

    /** Writes a plain service with one instance per given data centre. */
    ConfigurationGenerator plainService(String... dataCentres) throws IOException {
        ObjectNode document = endpoints("desk", "d", 64, dataCentres);
        ObjectNode actionRoute = document.putArray("routes").addObject();
        actionRoute.put("name", "actions").put("path", "/actions");
        actionRoute.putObject("methods").put("POST", "non-idempotent").put("GET", "idempotent");
        ObjectNode idempotentRoute = ((ArrayNode) document.path("routes")).addObject();
        idempotentRoute.put("name", "notes").put("path", "/notes");
        idempotentRoute.putObject("methods").put("POST", "idempotent");
        return write("desk", document);
    }

    private static ObjectNode endpoints(String service, String prefix, int capacity, String... dataCentres) {
        ObjectNode document = JSON.createObjectNode().put("name", service);
        ArrayNode endpoints = document.putArray("endpoints");
        for (int i = 0; i < dataCentres.length; i++) {
            endpoints
                    .addObject()
                    .put("name", prefix + i)
                    .put("dataCentre", dataCentres[i])
                    .put("address", "http://127.0.0.1:1")
                    .put("capacity", capacity);
        }
        return document;
    }

    /** Writes one account without region restrictions. */
    ConfigurationGenerator account(String name, long tokensPerSecond, long burstTokens) throws IOException {
        ObjectNode document = JSON.createObjectNode().put("name", "account-" + name);
        addAccount(document.putArray("accounts"), name, tokensPerSecond, burstTokens);
        return write("account-" + name, document);
    }

    private static ObjectNode addAccount(ArrayNode accounts, String name, long tokensPerSecond, long burstTokens) {
        ObjectNode account = accounts.addObject().put("name", name);
        account.put("tokensPerSecond", tokensPerSecond).put("burstTokens", burstTokens);
        account.putArray("keys");
        return account;
    }

    /** Writes many accounts whose key hashes match no real key, {@value #ACCOUNTS_PER_FILE} accounts per file. */
    ConfigurationGenerator bulkAccounts(int count, int keysPerAccount) throws IOException {
        for (int from = 0; from < count; from += ACCOUNTS_PER_FILE) {
            String name = "accounts-" + from;
            ObjectNode document = JSON.createObjectNode().put("name", name);
            ArrayNode accounts = document.putArray("accounts");
            for (int i = from; i < Math.min(count, from + ACCOUNTS_PER_FILE); i++) {
                ArrayNode keys = addAccount(accounts, "bulk-" + i, 1000, 10_000).withArray("keys");
                for (int k = 0; k < keysPerAccount; k++) {
                    keys.addObject().put("id", "k" + i + "x" + k).put("hash", String.format("%064x", i * 100L + k));
                }
            }
            write(name, document);
        }
        return this;
    }

    private ConfigurationGenerator write(String folder, ObjectNode document) throws IOException {
        Path directory = Files.createDirectories(root.resolve(folder));
        Files.writeString(directory.resolve("toucanlane.json"), document.toPrettyString());
        return this;
    }
}
