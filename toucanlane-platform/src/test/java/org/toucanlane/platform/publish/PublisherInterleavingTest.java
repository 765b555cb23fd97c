package org.toucanlane.platform.publish;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.Choices;
import org.toucanlane.coordination.store.FaultyStore;
import org.toucanlane.coordination.store.FaultyStore.Fault;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.OverwritingStore;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.ServiceDocument;

/**
 * Two operators who publish at the same time: at each call of the store by one, the other may publish as a whole, and
 * each write may be lost before, lost after, or arrive late; a publisher may die at any call. All such orders are tried.
 */
class PublisherInterleavingTest {

    private static final int DEPTH = 9;

    private final Choices choices = new Choices(DEPTH);

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
            throw new AssertionError("what is in force can't be read", e);
        }
    }

    @Test
    void concurrentPublicationsOfDifferentNamesAreMerged() throws Exception {
        int orders = 0;
        do {
            FaultyStore store = storeWithFleet();
            List<Outcome> ends = runInterleaved(store, store, accountDocument("one", 1), accountDocument("two", 1));
            Map<String, ServiceDocument> inForce =
                    new ConfigurationPublisher(store).current().documents();
            assertThat(ends).doesNotContain(Outcome.CONFLICT);
            assertThat(inForce).containsKey("fleet");
            if (ends.get(0) == Outcome.PUBLISHED) {
                assertThat(inForce).as("order %s", choices).containsKey("one");
            }
            if (ends.get(1) == Outcome.PUBLISHED) {
                assertThat(inForce).as("order %s", choices).containsKey("two");
            }
            orders++;
        } while (choices.next());
        assertThat(orders).isGreaterThan(1000);
    }

    @Test
    void concurrentPublicationsOfOneNameConflictOrSerialize() throws Exception {
        do {
            FaultyStore store = storeWithFleet();
            List<Outcome> ends = runInterleaved(store, store, accountDocument("one", 1), accountDocument("one", 2));
            Map<String, ServiceDocument> inForce =
                    new ConfigurationPublisher(store).current().documents();
            assertThat(inForce).containsKey("fleet");
            if (ends.contains(Outcome.PUBLISHED)) {
                assertThat(inForce).as("order %s", choices).containsKey("one");
            }
            if (ends.get(0) == Outcome.CONFLICT && ends.get(1) == Outcome.PUBLISHED) {
                assertThat(inForce.get("one").text()).contains("\"tokensPerSecond\":2");
            }
        } while (choices.next());
    }

    /** The control: without comparison one of two documents is lost although both publishers were told otherwise. */
    @Test
    void lostUpdateIsDetectedWithoutComparison() throws Exception {
        boolean lost = false;
        do {
            FaultyStore memory = storeWithFleet();
            OverwritingStore store = new OverwritingStore(memory);
            List<Outcome> ends = runInterleaved(memory, store, accountDocument("one", 1), accountDocument("two", 1));
            Map<String, ServiceDocument> inForce =
                    new ConfigurationPublisher(memory).current().documents();
            boolean bothTold = ends.equals(List.of(Outcome.PUBLISHED, Outcome.PUBLISHED));
            lost = bothTold && !(inForce.containsKey("one") && inForce.containsKey("two"));
        } while (!lost && choices.next());
        assertThat(lost).isTrue();
    }

    /** The first publishes; the second may come in at any call of the store by the first, or after it. */
    private List<Outcome> runInterleaved(
            FaultyStore memory, KeyValueStore store, ServiceDocument first, ServiceDocument second) {
        Outcome[] ends = new Outcome[2];
        boolean[] secondHasRun = new boolean[1];
        memory.follow(write -> {
            if (!secondHasRun[0] && choices.pick(2) == 1) {
                secondHasRun[0] = true;
                ends[1] = publish(store, second);
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
        ends[0] = publish(store, first);
        memory.follow(write -> Fault.NONE);
        if (!secondHasRun[0]) {
            ends[1] = publish(store, second);
        }
        return List.of(ends);
    }

    /** A publisher that stops at a call. */
    private static final class PublisherCrash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }
}
