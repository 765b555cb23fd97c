package org.toucanlane.standins.demo;

/** The two deployments of the demonstration, and what is asked of each. */
enum DemoPlan {
    /** Recipe testing in three towns. */
    INSTITUTO(
            "montevideo-a",
            "salto-a",
            new AccountNames("cocina-nacional", "ensayo-salto", "editorial"),
            new ModelNames("catador-large", "catador-small"),
            new PlainService("bitacora", "/sign-offs/trial-17", "/trial-logs/trial-17", "/opening-hours"),
            "The dossier of trial 17: chestnut soup for forty, three testers, two ovens, and the salt still disputed"),
    /** Pickups of donated goods on three islands. */
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

    DemoPlan(String home, String away, AccountNames accounts, ModelNames models, PlainService services, String prompt) {
        this.callerDataCentre = home;
        this.boundDataCentre = away;
        this.accounts = accounts;
        this.models = models;
        this.services = services;
        this.prompt = prompt;
    }

    /** Returns the data centre that callers are near. */
    String callerDataCentre() {
        return callerDataCentre;
    }

    /** Returns the data centre to which one account is bound. */
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

    /** A large account, one bound to a region, and a small one. */
    record AccountNames(String large, String regionBound, String small) {}

    /** A model for long work and one for quick questions. */
    record ModelNames(String large, String small) {}

    /** A plain service: an action, a read, and a read that is open to all. */
    record PlainService(String name, String actionPath, String readPath, String anonymousPath) {}
}
