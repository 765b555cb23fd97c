package org.toucanlane.domain.account;

import static org.assertj.core.api.Assertions.assertThat;

import java.security.SecureRandom;
import org.junit.jupiter.api.Test;

class KeyHasherTest {

    private final KeyHasher hasher = KeyHasher.of("secret");
    private final String key = KeyHasher.newKey(new SecureRandom());
    private final ApiKey storedKey = new ApiKey(KeyHasher.idOf(key).orElseThrow(), "account", hasher.hash(key));

    @Test
    void keyMatchesOnlyItsOwnHash() {
        assertThat(hasher.matches(key, storedKey)).isTrue();
        assertThat(hasher.matches(key + "0", storedKey)).isFalse();
        assertThat(hasher.matches("tl-" + storedKey.id() + "-0000", storedKey)).isFalse();
        assertThat(KeyHasher.of("other secret").matches(key, storedKey)).isFalse();
    }

    @Test
    void hashDoesNotContainKey() {
        assertThat(storedKey.hash()).hasSize(64).doesNotContain(key.substring(10));
    }

    @Test
    void malformedKeysHaveNoId() {
        assertThat(KeyHasher.idOf("")).isEmpty();
        assertThat(KeyHasher.idOf("tl-")).isEmpty();
        assertThat(KeyHasher.idOf("tl--x")).isEmpty();
        assertThat(KeyHasher.idOf("tl-id-")).isEmpty();
        assertThat(KeyHasher.idOf("xx-id-secret")).isEmpty();
    }
}
