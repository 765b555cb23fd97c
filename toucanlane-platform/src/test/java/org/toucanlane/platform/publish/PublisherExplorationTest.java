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
 * Two operators who publish at the same time: at each call of the store by one, the other may publish as a whole, and
 * each write may be lost before, lost after, or arrive late; a publisher may die at any call. All such orders are tried.
 */
class PublisherExplorationTest {

    private static final int DEPTH = 9;

    private final ChoiceSequence choices = new ChoiceSequence(DEPTH);

    private static ServiceDocument document(String name, int tokens) throws InvalidConfigurationException {
        return ServiceDocument.parse(
                name,
                "{\"name\":\"" + name + "\",\"accounts\":[{\"name\":\"" + name + "\",\"tokensPerSecond\":" + tokens
                        + ",\"burstTokens\":1}]}");
    }

    private static ServiceDocument fleet() throws InvalidConfigurationException {
        return ServiceDocument.parse(
                "fleet",
                "{\"name\":\"fleet\",\"regions\":[{\"name\":\"r\",\"dataCentres\":[{\"name\":\"d\",\"hosts\":[\"h\"]}]}]}");
    }

    private static FaultyStore storeWithFleet()
            throws InvalidConfigurationException, PublishConflictException, StoreException, IOException {
        FaultyStore store = new FaultyStore();
        new Publisher(store).publish(List.of(fleet()), Set.of(), Map.of());
        return store;
    }

    private enum End {
        IN_FORCE,
        CONFLICT,
        FAILED
    }

    private static End publish(KeyValueStore store, ServiceDocument document) {
        try {
            new Publisher(store).publish(List.of(document), Set.of(), Map.of());
            return End.IN_FORCE;
        } catch (PublishConflictException e) {
            return End.CONFLICT;
        } catch (StoreException | Dead e) {
            return End.FAILED;
        } catch (IOException | InvalidConfigurationException e) {
            throw new AssertionError("what is in force can't be read", e);
        }
    }

    @Test
    void documentsOfDifferentNamesAreBothInForce() throws Exception {
        int orders = 0;
        do {
            FaultyStore store = storeWithFleet();
            List<End> ends = race(store, store, document("one", 1), document("two", 1));
            Map<String, ServiceDocument> inForce =
                    new Publisher(store).current().documents();
            assertThat(ends).doesNotContain(End.CONFLICT);
            assertThat(inForce).containsKey("fleet");
            if (ends.get(0) == End.IN_FORCE) {
                assertThat(inForce).as("order %s", choices).containsKey("one");
            }
            if (ends.get(1) == End.IN_FORCE) {
                assertThat(inForce).as("order %s", choices).containsKey("two");
            }
            orders++;
        } while (choices.advance());
        assertThat(orders).isGreaterThan(1000);
    }

    @Test
    void ofOneNameTheLaterOneIsRefusedOrFollowsAndNothingIsLost() throws Exception {
        do {
            FaultyStore store = storeWithFleet();
            List<End> ends = race(store, store, document("one", 1), document("one", 2));
            Map<String, ServiceDocument> inForce =
                    new Publisher(store).current().documents();
            assertThat(inForce).containsKey("fleet");
            if (ends.contains(End.IN_FORCE)) {
                assertThat(inForce).as("order %s", choices).containsKey("one");
            }
            if (ends.get(0) == End.CONFLICT && ends.get(1) == End.IN_FORCE) {
                assertThat(inForce.get("one").text()).contains("\"tokensPerSecond\":2");
            }
        } while (choices.advance());
    }

    /** The control: without comparison one of two documents is lost although both publishers were told otherwise. */
    @Test
    void swapsThatDoNotCompareAreFoundOut() throws Exception {
        boolean lost = false;
        do {
            FaultyStore memory = storeWithFleet();
            UnconditionalStore store = new UnconditionalStore(memory);
            List<End> ends = race(memory, store, document("one", 1), document("two", 1));
            Map<String, ServiceDocument> inForce =
                    new Publisher(memory).current().documents();
            boolean bothTold = ends.equals(List.of(End.IN_FORCE, End.IN_FORCE));
            lost = bothTold && !(inForce.containsKey("one") && inForce.containsKey("two"));
        } while (!lost && choices.advance());
        assertThat(lost).isTrue();
    }

    /** The first publishes; the second may come in at any call of the store by the first, or after it. */
    private List<End> race(FaultyStore memory, KeyValueStore store, ServiceDocument first, ServiceDocument second) {
        End[] ends = new End[2];
        boolean[] secondHasRun = new boolean[1];
        memory.setScript(write -> {
            if (!secondHasRun[0] && choices.pick(2) == 1) {
                secondHasRun[0] = true;
                ends[1] = publish(store, second);
            }
            if (!write) {
                return Fault.NONE;
            }
            int choice = choices.pick(5);
            if (choice == 4) {
                throw new Dead();
            }
            return Fault.values()[choice];
        });
        ends[0] = publish(store, first);
        memory.setScript(write -> Fault.NONE);
        if (!secondHasRun[0]) {
            ends[1] = publish(store, second);
        }
        return List.of(ends);
    }

    /** A publisher that stops at a call. */
    private static final class Dead extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }
}
