package org.toucanlane.domain.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class ServiceDocumentTest {

    private static final String VALID_FILE = """
            {
              "name": "fleet",
              "regions": [
                {"name": "north", "dataCentres": [{"name": "north-a", "hosts": ["n1"]}]},
                {"name": "south", "dataCentres": [{"name": "south-a", "hosts": ["s1"]}]}
              ],
              "accounts": [
                {"name": "one", "tokensPerSecond": 10, "burstTokens": 100, "residency": ["south"]}
              ]
            }
            """;

    private static List<Problem> problemsOf(String text) {
        try {
            ServiceDocument document = ServiceDocument.parse("file.json", text);
            FleetConfiguration.assemble(List.of(document));
            return List.of();
        } catch (InvalidConfigurationException e) {
            return e.problems();
        }
    }

    @Test
    void validFileHasNoProblems() {
        assertThat(problemsOf(VALID_FILE)).isEmpty();
    }

    @Test
    void unknownFieldIsReportedWithLineAndSuggestion() {
        List<Problem> problems = problemsOf(VALID_FILE.replace("\"burstTokens\"", "\"burstTokes\""));
        assertThat(problems).anySatisfy(problem -> {
            assertThat(problem.line()).isEqualTo(8);
            assertThat(problem.message()).contains("burstTokes");
            assertThat(problem.hint()).contains("burstTokens");
        });
    }

    @Test
    void allProblemsAreReportedTogether() {
        String invalid = VALID_FILE
                .replace("\"tokensPerSecond\": 10", "\"tokensPerSecond\": -1")
                .replace("\"name\": \"north\",", "\"name\": \"North!\",");
        assertThat(problemsOf(invalid)).hasSizeGreaterThanOrEqualTo(2);
    }

    @Test
    void unknownResidencyIsRejectedWithSuggestion() {
        List<Problem> problems = problemsOf(VALID_FILE.replace("[\"south\"]", "[\"souht\"]"));
        assertThat(problems).singleElement().satisfies(problem -> {
            assertThat(problem.message()).contains("souht");
            assertThat(problem.hint()).contains("south");
            assertThat(problem.line()).isEqualTo(8);
        });
    }

    @Test
    void duplicateFieldIsRejected() {
        assertThatThrownBy(() -> ServiceDocument.parse("f", "{\"name\":\"a\",\"name\":\"b\"}"))
                .isInstanceOf(InvalidConfigurationException.class);
    }

    @Test
    void sharesOutsideResidencyAreRejected() {
        String invalid = VALID_FILE.replace("\"residency\"", "\"shares\": {\"north-a\": 1}, \"residency\"");
        assertThat(problemsOf(invalid)).isNotEmpty();
    }

    @Property(tries = 500, seed = "20261204")
    void arbitraryTextIsAcceptedOrRejectedWithLineNumber(@ForAll @StringLength(max = 200) String text) {
        assertThat(problemsOf(text)).allMatch(problem -> problem.line() >= 1);
    }

    @Property(tries = 1000, seed = "20261204")
    void corruptedFileIsAcceptedOrRejectedWithLineNumber(
            @ForAll @IntRange(max = 400) int position, @ForAll char replacement) {
        StringBuilder corrupted = new StringBuilder(VALID_FILE);
        corrupted.setCharAt(position % VALID_FILE.length(), replacement);
        assertThat(problemsOf(corrupted.toString())).allMatch(problem -> problem.line() >= 1);
    }
}
