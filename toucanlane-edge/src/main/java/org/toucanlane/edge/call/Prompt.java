package org.toucanlane.edge.call;

import com.google.common.base.Preconditions;
import java.util.List;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.policy.placement.PromptSize;

/**
 * Size and parts of a prompt. Immutable.
 *
 * @param promptTokens number of prompt tokens
 * @param outputTokens maximum number of output tokens
 * @param parts prompt parts in order; all but the last may be shared with other requests
 */
public record Prompt(long promptTokens, long outputTokens, List<PromptSegment> parts) {

    /** Validates the token counts and copies the parts. */
    public Prompt {
        Preconditions.checkArgument(
                promptTokens >= 0 && outputTokens >= 0,
                "token counts must not be negative: %s, %s",
                promptTokens,
                outputTokens);
        parts = List.copyOf(parts);
    }

    /** Returns the number of tokens charged against the account limit. */
    public long chargedTokens() {
        return promptTokens + outputTokens;
    }

    /** Returns the token counts used for placement. */
    public PromptSize size() {
        long shared = parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .mapToLong(PromptSegment::tokens)
                .sum();
        return new PromptSize(promptTokens, shared, outputTokens);
    }

    /** Returns the ids of the parts that may be shared with other requests: all but the last. */
    public List<String> sharedIds() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .map(PromptSegment::id)
                .toList();
    }

    /** Returns a hash of the shared prefix, or 0 if there is none. */
    public long prefixHash() {
        return parts.size() < 2
                ? 0
                : RendezvousHash.hash(parts.get(parts.size() - 2).id());
    }
}
