package org.toucanlane.platform.publish;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.ChoiceSequence;
import org.toucanlane.coordination.store.FaultyStore;
import org.toucanlane.coordination.store.FaultyStore.Fault;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.coordination.store.UnconditionalStore;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.ServiceDocument;

/**
 * Explores all interleavings of two concurrent publishers: at each store call of one, the other may run its whole
 * publication; each write may be lost before it takes effect, lose its response, or take effect late; and a publisher
 * may crash at any write. Only the first {@link #DEPTH} choices of a run vary. Guards against lost updates and partial
 * publications.
 */
class PublisherInterleavingTest {

    private static final int DEPTH = 9;

    private final ChoiceSequence choices = new ChoiceSequence(DEPTH);

    private static ServiceDocument accountDocument(String name, int tokens) throws InvalidConfigurationException {
        return ServiceDocument.parse(
                name,
                "{\"name\":\"" + name + "\",\"accounts\":[{\"name\":\"" + name + "\",\"tokensPerSecond\":" + tokens
                        + ",\"burstTokens\":1}]}");
    }

    private static ServiceDocument fleetDocument() throws InvalidConfigurationException {
        return ServiceDocument.parse(
                "fleet",
                "{\"name\":\"fleet\",\"regions\":[{\"name\":\"r\",\"dataCentres\":[{\"name\":\"d\",\"hosts\":[\"h\"]}]}]}");
    }

    private static FaultyStore storeWithFleet()
            throws InvalidConfigurationException, PublishConflictException, StoreException, IOException {
        FaultyStore store = new FaultyStore();
        new ConfigurationPublisher(store).publish(List.of(fleetDocument()), Set.of(), Map.of());
        return store;
    }

    private enum Outcome {
        PUBLISHED,
        CONFLICT,
        FAILED
    }

    private static Outcome publish(KeyValueStore store, ServiceDocument document) {
        try {
            new ConfigurationPublisher(store).publish(List.of(document), Set.of(), Map.of());
            return Outcome.PUBLISHED;
        } catch (PublishConflictException e) {
            return Outcome.CONFLICT;
        } catch (StoreException | PublisherCrash e) {
            return Outcome.FAILED;
        } catch (IOException | InvalidConfigurationException e) {
            throw new AssertionError("the published configuration can't be read", e);
        }
    }

    @Test
    void concurrentPublicationsOfDifferentNamesAreMerged() throws Exception {
        int interleavings = 0;
        do {
            FaultyStore store = storeWithFleet();
            List<Outcome> outcomes = runInterleaved(store, store, accountDocument("one", 1), accountDocument("two", 1));
            Map<String, ServiceDocument> published =
                    new ConfigurationPublisher(store).current().documents();
            assertThat(outcomes).doesNotContain(Outcome.CONFLICT);
            assertThat(published).containsKey("fleet");
            if (outcomes.get(0) == Outcome.PUBLISHED) {
                assertThat(published).as("choices %s", choices).containsKey("one");
            }
            if (outcomes.get(1) == Outcome.PUBLISHED) {
                assertThat(published).as("choices %s", choices).containsKey("two");
            }
            interleavings++;
        } while (choices.advance());
        assertThat(interleavings).isGreaterThan(1000);
    }

    @Test
    void concurrentPublicationsOfOneNameConflictOrSerialize() throws Exception {
        do {
            FaultyStore store = storeWithFleet();
            List<Outcome> outcomes = runInterleaved(store, store, accountDocument("one", 1), accountDocument("one", 2));
            Map<String, ServiceDocument> published =
                    new ConfigurationPublisher(store).current().documents();
            assertThat(published).containsKey("fleet");
            if (outcomes.contains(Outcome.PUBLISHED)) {
                assertThat(published).as("choices %s", choices).containsKey("one");
            }
            if (outcomes.get(0) == Outcome.CONFLICT && outcomes.get(1) == Outcome.PUBLISHED) {
                assertThat(published.get("one").text()).contains("\"tokensPerSecond\":2");
            }
        } while (choices.advance());
    }

    /** Control: without the comparison, a document is lost although both publishers reported success. */
    @Test
    void lostUpdateIsDetectedWithoutComparison() throws Exception {
        boolean lost = false;
        do {
            FaultyStore backing = storeWithFleet();
            UnconditionalStore store = new UnconditionalStore(backing);
            List<Outcome> outcomes =
                    runInterleaved(backing, store, accountDocument("one", 1), accountDocument("two", 1));
            Map<String, ServiceDocument> published =
                    new ConfigurationPublisher(backing).current().documents();
            boolean bothReportedSuccess = outcomes.equals(List.of(Outcome.PUBLISHED, Outcome.PUBLISHED));
            lost = bothReportedSuccess && !(published.containsKey("one") && published.containsKey("two"));
        } while (!lost && choices.advance());
        assertThat(lost).isTrue();
    }

    /** Runs the first publication; the second runs at any store call of the first, or after it. */
    private List<Outcome> runInterleaved(
            FaultyStore backing, KeyValueStore store, ServiceDocument first, ServiceDocument second) {
        Outcome[] outcomes = new Outcome[2];
        boolean[] secondStarted = new boolean[1];
        backing.setScript(write -> {
            if (!secondStarted[0] && choices.pick(2) == 1) {
                secondStarted[0] = true;
                outcomes[1] = publish(store, second);
            }
            if (!write) {
                return Fault.NONE;
            }
            int choice = choices.pick(5);
            if (choice == 4) {
                throw new PublisherCrash();
            }
            return Fault.values()[choice];
        });
        outcomes[0] = publish(store, first);
        backing.setScript(write -> Fault.NONE);
        if (!secondStarted[0]) {
            outcomes[1] = publish(store, second);
        }
        return List.of(outcomes);
    }

    /** Simulates the crash of a publisher at a write. */
    private static final class PublisherCrash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }
}
