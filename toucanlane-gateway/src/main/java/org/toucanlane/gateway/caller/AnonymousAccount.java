package org.toucanlane.gateway.caller;

import java.util.Map;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.route.Route;

/** The account used for requests without a key on routes that don't require one. Stateless. */
public final class AnonymousAccount {

    /** Name under which anonymous requests are queued and counted; no client account can have it. */
    public static final String NAME = "(open)";

    private AnonymousAccount() {}

    /** Returns an account without a rate limit, allowed in every data centre that {@code route} allows. */
    public static ClientAccount forRoute(Route route) {
        return new ClientAccount(NAME, 0, 0, 1, Map.of(), route.allowedDataCentres());
    }
}
