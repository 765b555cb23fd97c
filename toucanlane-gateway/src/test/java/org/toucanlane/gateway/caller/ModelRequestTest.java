package org.toucanlane.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;

class ModelRequestTest {

    private static ModelRequest parse(String body) throws RequestFailedException {
        return ModelRequest.parse(body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void countsPromptAndMaxOutputTokens() throws RequestFailedException {
        ModelRequest chat = parse("{\"model\":\"m\",\"max_tokens\":10,\"messages\":[{\"content\":\"12345678\"},"
                + "{\"content\":[{\"type\":\"text\",\"text\":\"1234\"}]}]}");
        assertThat(chat.promptTokens()).isEqualTo(3);
        assertThat(chat.maxTotalTokens()).isEqualTo(13);
        assertThat(parse("{\"model\":\"m\",\"prompt\":\"\"}").maxTotalTokens())
                .isEqualTo(ModelRequest.DEFAULT_OUTPUT_TOKENS);
    }

    @Test
    void promptsWithSamePrefixHaveSameHash() throws RequestFailedException {
        String prefix = "s".repeat(300);
        assertThat(parse("{\"model\":\"m\",\"prompt\":\"" + prefix + "a\"}").prefixHash())
                .isEqualTo(parse("{\"model\":\"m\",\"prompt\":\"" + prefix + "b\"}")
                        .prefixHash())
                .isNotEqualTo(parse("{\"model\":\"n\",\"prompt\":\"" + prefix + "b\"}")
                        .prefixHash());
    }

    @Test
    void rejectsInvalidMaxTokens() {
        for (String limit : new String[] {"0", "-1", "1.5", "\"9\"", "99999999999"}) {
            assertThatThrownBy(() -> parse("{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":" + limit + '}'))
                    .isInstanceOf(RequestFailedException.class);
        }
    }

    @Property(tries = 500, seed = "20261204")
    void parsesOrRejectsAnyBody(@ForAll String body) {
        try {
            assertThat(parse(body).maxTotalTokens()).isPositive();
        } catch (RequestFailedException e) {
            assertThat(e.kind()).isEqualTo(ErrorKind.INVALID_REQUEST);
        }
    }
}
