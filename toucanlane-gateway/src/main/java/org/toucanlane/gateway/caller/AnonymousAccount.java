package org.toucanlane.gateway.caller;

import java.util.Map;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.route.Route;

/** Stands in for the account of requests that come without a key on a route open to all. Stateless. */
public final class AnonymousAccount {

    /** Name under which such requests are queued and counted; no client account can have it. */
    public static final String NAME = "(open)";

    private AnonymousAccount() {}

    /** Returns an account without a limit that may run wherever {@code route} may. */
    public static ClientAccount forRoute(Route route) {
        return new ClientAccount(NAME, 0, 0, 1, Map.of(), route.allowedDataCentres());
    }
}
