package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.toucanlane.coordination.share.HostShare;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.configuration.FleetConfiguration;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.NameSuggester;
import org.toucanlane.platform.store.HttpKeyValueStore;

/** Lists the client accounts, or shows one account with its keys and the hosts that hold shares of its limit. */
@Parameters(commandDescription = "list | show NAME: client accounts in force")
final class AccountCommand implements Command {

    @Parameter(description = "list | show NAME", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public ExitCode run(GlobalOptions options, Output out)
            throws CommandFailedException, IOException, StoreException, InvalidConfigurationException {
        try (HttpKeyValueStore store = options.openStore()) {
            FleetConfiguration configuration = FleetConfiguration.assemble(
                    options.publisher(store).current().documents().values());
            if (arguments.equals(List.of("list"))) {
                list(options, out, configuration);
            } else if (arguments.size() == 2 && arguments.get(0).equals("show")) {
                show(options, out, configuration, arguments.get(1));
            } else {
                throw new CommandFailedException(ExitCode.USAGE, "account takes \"list\" or \"show NAME\"");
            }
            return ExitCode.DONE;
        }
    }

    private static void list(GlobalOptions options, Output out, FleetConfiguration configuration) throws IOException {
        if (options.isJson()) {
            out.printJson(configuration.accounts().values());
            return;
        }
        out.printTable(
                List.of("ACCOUNT", "TOKENS/S", "BURST", "WEIGHT", "RUNS IN"),
                configuration.accounts().values().stream()
                        .map(AccountCommand::row)
                        .toList());
    }

    private static List<String> row(ClientAccount account) {
        return List.of(
                account.name(),
                Long.toString(account.tokensPerSecond()),
                Long.toString(account.burstTokens()),
                Integer.toString(account.weight()),
                String.join(" ", account.allowedDataCentres().stream().sorted().toList()));
    }

    private static void show(GlobalOptions options, Output out, FleetConfiguration configuration, String name)
            throws IOException, CommandFailedException {
        ClientAccount account = configuration.accounts().get(name);
        if (account == null) {
            String hint = NameSuggester.suggest(name, configuration.accounts().keySet())
                    .map(nearest -> ", did you mean \"" + nearest + "\"?")
                    .orElse("");
            throw new CommandFailedException(ExitCode.USAGE, "unknown account \"" + name + '"' + hint);
        }
        List<HostShare> holders = configuration.shareHolders().get(name);
        List<String> keys = configuration.keys().values().stream()
                .filter(key -> key.account().equals(name))
                .map(key -> key.id())
                .sorted()
                .toList();
        if (options.isJson()) {
            Map<String, Object> fields = new TreeMap<>();
            fields.put("account", account);
            fields.put("holders", holders);
            fields.put("keys", keys);
            out.printJson(fields);
            return;
        }
        out.printTable(List.of("ACCOUNT", "TOKENS/S", "BURST", "WEIGHT", "RUNS IN"), List.of(row(account)));
        out.printLine("");
        out.printTable(
                List.of("SHARE HELD BY", "DATA CENTRE", "TOKENS/S", "BURST"),
                holders.stream()
                        .map(share -> List.of(
                                share.host(),
                                share.dataCentre(),
                                Long.toString(share.limit().tokensPerSecond()),
                                Long.toString(share.limit().burstTokens())))
                        .toList());
        out.printLine("");
        out.printLine("keys: " + String.join(" ", keys));
    }
}
