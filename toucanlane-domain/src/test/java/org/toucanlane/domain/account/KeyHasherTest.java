package org.toucanlane.domain.account;

import static org.assertj.core.api.Assertions.assertThat;

import java.security.SecureRandom;
import org.junit.jupiter.api.Test;

class KeyHasherTest {

    private final KeyHasher hasher = KeyHasher.of("secret");
    private final String key = KeyHasher.newKey(new SecureRandom());
    private final ApiKey known = new ApiKey(KeyHasher.idOf(key).orElseThrow(), "account", hasher.hash(key));

    @Test
    void aKeyMatchesItsOwnHashOnly() {
        assertThat(hasher.matches(key, known)).isTrue();
        assertThat(hasher.matches(key + "0", known)).isFalse();
        assertThat(hasher.matches("tl-" + known.id() + "-0000", known)).isFalse();
        assertThat(KeyHasher.of("other secret").matches(key, known)).isFalse();
    }

    @Test
    void theHashDoesNotContainTheKey() {
        assertThat(known.hash()).hasSize(64).doesNotContain(key.substring(10));
    }

    @Test
    void textsThatAreNoKeysHaveNoId() {
        assertThat(KeyHasher.idOf("")).isEmpty();
        assertThat(KeyHasher.idOf("tl-")).isEmpty();
        assertThat(KeyHasher.idOf("tl--x")).isEmpty();
        assertThat(KeyHasher.idOf("tl-id-")).isEmpty();
        assertThat(KeyHasher.idOf("xx-id-secret")).isEmpty();
    }
}
