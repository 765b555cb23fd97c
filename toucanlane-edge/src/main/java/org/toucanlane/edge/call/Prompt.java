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
 * @param parts prompt parts in order, each identified with the model that caches it; all but the last may be shared with
 *     other requests
 * @param contentIds ids of the content of these parts, equal for all models
 */
public record Prompt(long promptTokens, long outputTokens, List<PromptSegment> parts, List<String> contentIds) {

    /** Validates the token counts and copies the parts. */
    public Prompt {
        Preconditions.checkArgument(
                promptTokens >= 0 && outputTokens >= 0,
                "token counts must not be negative: %s, %s",
                promptTokens,
                outputTokens);
        parts = List.copyOf(parts);
        contentIds = List.copyOf(contentIds);
        Preconditions.checkArgument(
                parts.size() == contentIds.size(), "parts and contentIds differ in size: %s, %s", parts, contentIds);
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

    /** Returns the ids of the content that may be shared with other requests: that of all parts but the last. */
    public List<String> sharedContentIds() {
        return contentIds.subList(0, Math.max(0, contentIds.size() - 1));
    }

    /** Returns a hash of the shared prefix, or 0 if there is none. */
    public long prefixHash() {
        return parts.size() < 2
                ? 0
                : RendezvousHash.hash(parts.get(parts.size() - 2).id());
    }
}
