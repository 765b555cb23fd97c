package org.toucanlane.domain.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationReviewTest {

    private static final String FLEET = """
            {"name": "fleet", "regions": [
              {"name": "north", "dataCentres": [{"name": "n1", "hosts": ["h1"]}]},
              {"name": "south", "dataCentres": [{"name": "s1", "hosts": ["h2"]}, {"name": "s2", "hosts": []}]}]}""";
    private static final String SERVICE = """
            {"name": "desk",
             "endpoints": [{"name": "e1", "dataCentre": "n1", "address": "http://e1:80"}],
             "routes": [{"name": "read", "path": "/read", "methods": {"GET": "idempotent"}}]}""";
    private static final String ACCOUNTS = """
            {"name": "accounts",
             "accounts": [
               {"name": "one", "tokensPerSecond": 10, "burstTokens": 100, "residency": ["south"],
                "shares": {"s1": 1}}]}""";

    @Test
    void findsNothingInSoundFiles() throws Exception {
        assertThat(findings(FLEET, SERVICE, ACCOUNTS)).isEmpty();
    }

    @Test
    void findsRouteWithoutEndpointWhereItMayRun() throws Exception {
        String bound = SERVICE.replace("\"methods\"", "\"residency\": [\"south\"], \"methods\"");
        assertThat(findings(FLEET, bound, ACCOUNTS)).singleElement().satisfies(finding -> {
            assertThat(finding.toString()).startsWith("file1:3: route \"read\" can never be served");
            assertThat(finding.hint()).isNotEmpty();
        });
    }

    @Test
    void findsRoutesThatMatchTheSameRequests() throws Exception {
        String twice = SERVICE.replace(
                "\"routes\": [",
                "\"routes\": [{\"name\": \"all\", \"path\": \"/read\", \"methods\": {\"GET\": \"idempotent\","
                        + " \"PUT\": \"idempotent\"}}, ");
        assertThat(findings(FLEET, twice, ACCOUNTS))
                .singleElement()
                .extracting(Problem::message)
                .asString()
                .contains("routes \"all\" and \"read\" match the same GET requests");
    }

    @Test
    void findsAccountThatMayNotRunWhereItsRouteMay() throws Exception {
        String bound =
                SERVICE.replace("\"methods\"", "\"residency\": [\"north\"], \"accounts\": [\"one\"], \"methods\"");
        assertThat(findings(FLEET, bound, ACCOUNTS))
                .singleElement()
                .extracting(Problem::message)
                .asString()
                .contains("account \"one\" can never use route \"read\"");
    }

    @Test
    void findsLimitsThatContradictEachOther() throws Exception {
        String contradictory = ACCOUNTS.replace("\"burstTokens\": 100", "\"burstTokens\": 9")
                .replace("{\"s1\": 1}", "{\"s1\": 1, \"s2\": 2}");
        assertThat(findings(FLEET, SERVICE, contradictory))
                .extracting(Problem::message)
                .satisfiesExactly(
                        burst -> assertThat(burst).contains("accrues 10 tokens a second, but can hold only 9"),
                        share -> assertThat(share).contains("data centre \"s2\" can never be used: it has no host"));
    }

    @Test
    void reportsErrorsAsAssemblingDoes() {
        assertThatThrownBy(() -> findings(SERVICE, ACCOUNTS)).isInstanceOf(InvalidConfigurationException.class);
    }

    private static List<Problem> findings(String... texts) throws InvalidConfigurationException {
        List<ServiceDocument> documents = new ArrayList<>();
        for (String text : texts) {
            documents.add(ServiceDocument.parse("file" + documents.size(), text));
        }
        return ConfigurationReview.findings(documents);
    }
}
