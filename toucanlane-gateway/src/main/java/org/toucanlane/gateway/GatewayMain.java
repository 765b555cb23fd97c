package org.toucanlane.gateway;

/** Entry point of {@code toucanlane-gateway}. */
public final class GatewayMain {

    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILURE = 1;

    private static final String HELP = """
            toucanlane-gateway: the daemon of one host

              toucanlane-gateway SETTINGS.json   run until stopped; SIGTERM drains first
              toucanlane-gateway --check SETTINGS.json
                                                 check the settings and exit
              toucanlane-gateway --help | --version

            Exit codes:
              0  stopped as planned, or the settings are good
              1  could not start; the log or the message says why
              2  wrong arguments
            """;

    private GatewayMain() {}

    /** Runs the command given by {@code args}. */
    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("--help")) {
            System.out.print(HELP);
        } else if (args.length == 1 && args[0].equals("--version")) {
            System.out.println("toucanlane-gateway " + version());
        } else if (args.length == 2 && args[0].equals("--check")) {
            run("check", args[1]);
        } else if (args.length == 1 && !args[0].startsWith("-")) {
            run("server", args[0]);
        } else {
            System.err.print(HELP);
            System.exit(EXIT_USAGE);
        }
    }

    private static String version() {
        String version = GatewayMain.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    private static void run(String command, String settings) throws Exception {
        GatewayApplication application = new GatewayApplication() {
            @Override
            protected void onFatalError(Throwable cause) {
                System.exit(EXIT_FAILURE);
            }
        };
        application.run(command, settings);
    }
}
