package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes service folders of fleets of any size. Not thread-safe. */
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

    /** Writes regions of one data centre each, {@code r0-a}, {@code r1-a} and so on, hosts spread evenly. */
    ConfigurationGenerator regions(int regions, int hosts) throws IOException {
        ObjectNode file = JSON.createObjectNode().put("name", "fleet");
        ArrayNode list = file.putArray("regions");
        for (int r = 0; r < regions; r++) {
            ObjectNode centre = list.addObject()
                    .put("name", "r" + r)
                    .putArray("dataCentres")
                    .addObject()
                    .put("name", "r" + r + "-a");
            ArrayNode names = centre.putArray("hosts");
            for (int h = r; h < hosts; h += regions) {
                names.add("h" + h);
            }
        }
        return write("fleet", file);
    }

    /** Writes a model service with engines in the given data centres, one model {@code m}. */
    ConfigurationGenerator modelService(int capacity, String... dataCentres) throws IOException {
        ObjectNode file = endpoints("model", "e", capacity, dataCentres);
        file.putArray("routes")
                .addObject()
                .put("name", "chat")
                .putArray("models")
                .add("m");
        return write("model", file);
    }

    /** Writes a plain service with instances in the given data centres. */
    ConfigurationGenerator plainService(String... dataCentres) throws IOException {
        ObjectNode file = endpoints("desk", "d", 64, dataCentres);
        ObjectNode route = file.putArray("routes").addObject();
        route.put("name", "actions").put("path", "/actions");
        route.putObject("methods").put("POST", "non-idempotent").put("GET", "idempotent");
        ObjectNode repeatable = ((ArrayNode) file.path("routes")).addObject();
        repeatable.put("name", "notes").put("path", "/notes");
        repeatable.putObject("methods").put("POST", "idempotent");
        return write("desk", file);
    }

    private static ObjectNode endpoints(String service, String prefix, int capacity, String... dataCentres) {
        ObjectNode file = JSON.createObjectNode().put("name", service);
        ArrayNode endpoints = file.putArray("endpoints");
        for (int i = 0; i < dataCentres.length; i++) {
            endpoints
                    .addObject()
                    .put("name", prefix + i)
                    .put("dataCentre", dataCentres[i])
                    .put("address", "http://127.0.0.1:1")
                    .put("capacity", capacity);
        }
        return file;
    }

    /** Writes one account that may run anywhere. */
    ConfigurationGenerator account(String name, long tokensPerSecond, long burstTokens) throws IOException {
        ObjectNode file = JSON.createObjectNode().put("name", "account-" + name);
        addAccount(file.putArray("accounts"), name, tokensPerSecond, burstTokens);
        return write("account-" + name, file);
    }

    private static ObjectNode addAccount(ArrayNode accounts, String name, long tokensPerSecond, long burstTokens) {
        ObjectNode account = accounts.addObject().put("name", name);
        account.put("tokensPerSecond", tokensPerSecond).put("burstTokens", burstTokens);
        account.putArray("keys");
        return account;
    }

    /** Writes many accounts with keys that nobody has, in files of a bounded size. */
    ConfigurationGenerator bulkAccounts(int count, int keysEach) throws IOException {
        for (int from = 0; from < count; from += ACCOUNTS_PER_FILE) {
            String name = "accounts-" + from;
            ObjectNode file = JSON.createObjectNode().put("name", name);
            ArrayNode accounts = file.putArray("accounts");
            for (int i = from; i < Math.min(count, from + ACCOUNTS_PER_FILE); i++) {
                ArrayNode keys = addAccount(accounts, "bulk-" + i, 1000, 10_000).withArray("keys");
                for (int k = 0; k < keysEach; k++) {
                    keys.addObject().put("id", "k" + i + "x" + k).put("hash", String.format("%064x", i * 100L + k));
                }
            }
            write(name, file);
        }
        return this;
    }

    private ConfigurationGenerator write(String folder, ObjectNode file) throws IOException {
        Path place = Files.createDirectories(root.resolve(folder));
        Files.writeString(place.resolve("toucanlane.json"), file.toPrettyString());
        return this;
    }
}
