package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucanlane.platform.publish.ConfigurationPublisher;
import org.toucanlane.platform.store.HttpKeyValueStore;

/** Options shared by all commands. */
final class GlobalOptions {

    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(5);

    @Parameter(
            names = "--store",
            description = "base address of the platform's key-value service (or TOUCANLANE_STORE)")
    private String store = System.getenv("TOUCANLANE_STORE");

    @Parameter(
            names = "--admin",
            description = "admin address of a host; may be repeated (or TOUCANLANE_ADMIN, separated by commas)")
    private List<String> admin = new ArrayList<>();

    @Parameter(names = "--json", description = "print JSON")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "print this help")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "print the version")
    private boolean version;

    boolean isHelp() {
        return help;
    }

    boolean isVersion() {
        return version;
    }

    boolean isJson() {
        return json;
    }

    boolean hasStore() {
        return store != null && !store.isBlank();
    }

    HttpKeyValueStore openStore() throws CommandFailedException {
        if (!hasStore()) {
            throw new CommandFailedException(
                    ExitCode.USAGE, "no store address: pass --store URL or set TOUCANLANE_STORE");
        }
        return HttpKeyValueStore.create(toUri(store), STORE_TIMEOUT);
    }

    ConfigurationPublisher publisher(HttpKeyValueStore openStore) {
        return new ConfigurationPublisher(openStore);
    }

    List<URI> adminAddresses() throws CommandFailedException {
        List<String> values = admin;
        if (values.isEmpty()) {
            values = Optional.ofNullable(System.getenv("TOUCANLANE_ADMIN"))
                    .map(value -> List.of(value.split(",")))
                    .orElse(List.of());
        }
        List<URI> addresses = new ArrayList<>();
        for (String text : values) {
            addresses.add(toUri(text));
        }
        return addresses;
    }

    private static URI toUri(String text) throws CommandFailedException {
        try {
            return URI.create(text.strip());
        } catch (IllegalArgumentException e) {
            throw new CommandFailedException(ExitCode.USAGE, "invalid address: " + text);
        }
    }
}
