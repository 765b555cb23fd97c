package org.toucanlane.standins.demo;

/** The example deployments of the demonstration, with the names and the prompt that its requests use. */
enum DemoPlan {
    /** Recipe testing in three towns; the deployment of {@code examples/instituto}. */
    INSTITUTO(
            "montevideo-a",
            "salto-a",
            new AccountNames("cocina-nacional", "ensayo-salto", "editorial"),
            new ModelNames("catador-large", "catador-small"),
            new PlainService("bitacora", "/sign-offs/trial-17", "/trial-logs/trial-17", "/opening-hours"),
            "The dossier of trial 17: chestnut soup for forty, three testers, two ovens, and the salt still disputed"),
    /** Pickups of donated goods on three islands; the deployment of {@code examples/lampara}. */
    LAMPARA(
            "luzon-a",
            "visayas-a",
            new AccountNames("health-workers", "parishes-visayas", "newsletter"),
            new ModelNames("route-summary", "donor-chat"),
            new PlainService("pickup-desk", "/confirmations/pickup-17", "/status/pickup-17", "/depots"),
            "The route of van 17: nine stops between two rivers, one bridge closed, and three parishes to call first");

    private final String callerDataCentre;
    private final String boundDataCentre;
    private final AccountNames accounts;
    private final ModelNames models;
    private final PlainService services;
    private final String prompt;

    DemoPlan(
            String callerDataCentre,
            String boundDataCentre,
            AccountNames accounts,
            ModelNames models,
            PlainService services,
            String prompt) {
        this.callerDataCentre = callerDataCentre;
        this.boundDataCentre = boundDataCentre;
        this.accounts = accounts;
        this.models = models;
        this.services = services;
        this.prompt = prompt;
    }

    /** Returns the data centre closest to the callers. */
    String callerDataCentre() {
        return callerDataCentre;
    }

    /** Returns the data centre in the region to which the account {@link AccountNames#regionBound} is bound. */
    String boundDataCentre() {
        return boundDataCentre;
    }

    AccountNames accounts() {
        return accounts;
    }

    ModelNames models() {
        return models;
    }

    PlainService services() {
        return services;
    }

    String prompt() {
        return prompt;
    }

    /** The accounts: one with a high rate limit, one bound to a region and one with a low rate limit. */
    record AccountNames(String large, String regionBound, String small) {}

    /** The models: a large one for long responses and a small one for short responses. */
    record ModelNames(String large, String small) {}

    /** A plain service: the paths of a one-time action, of an idempotent read and of a read that needs no key. */
    record PlainService(String name, String actionPath, String readPath, String anonymousPath) {}
}
