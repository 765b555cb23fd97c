package org.toucanlane.standins.demo;

/** The two deployments of the demonstration, and what is asked of each. */
enum DemoPlan {
    /** Recipe testing in three towns. */
    INSTITUTO(
            "montevideo-a",
            "salto-a",
            new Names("cocina-nacional", "ensayo-salto", "editorial"),
            new Models("catador-large", "catador-small"),
            new Services("bitacora", "/sign-offs/trial-17", "/trial-logs/trial-17", "/opening-hours"),
            "The dossier of trial 17: chestnut soup for forty, three testers, two ovens, and the salt still disputed"),
    /** Pickups of donated goods on three islands. */
    LAMPARA(
            "luzon-a",
            "visayas-a",
            new Names("health-workers", "parishes-visayas", "newsletter"),
            new Models("route-summary", "donor-chat"),
            new Services("pickup-desk", "/confirmations/pickup-17", "/status/pickup-17", "/depots"),
            "The route of van 17: nine stops between two rivers, one bridge closed, and three parishes to call first");

    private final String home;
    private final String away;
    private final Names accounts;
    private final Models models;
    private final Services services;
    private final String prompt;

    DemoPlan(String home, String away, Names accounts, Models models, Services services, String prompt) {
        this.home = home;
        this.away = away;
        this.accounts = accounts;
        this.models = models;
        this.services = services;
        this.prompt = prompt;
    }

    /** Returns the data centre that callers are near. */
    String home() {
        return home;
    }

    /** Returns the data centre to which one account is bound. */
    String away() {
        return away;
    }

    Names accounts() {
        return accounts;
    }

    Models models() {
        return models;
    }

    Services services() {
        return services;
    }

    String prompt() {
        return prompt;
    }

    /** A large account, one bound to a region, and a small one. */
    record Names(String large, String bound, String small) {}

    /** A model for long work and one for quick questions. */
    record Models(String large, String small) {}

    /** A plain service: an action, a read, and a read that is open to all. */
    record Services(String name, String action, String read, String open) {}
}
