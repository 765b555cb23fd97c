package org.toucanlane.edge.call;

import com.google.common.base.Preconditions;
import java.util.List;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.edge.fleet.CachedPart;
import org.toucanlane.policy.placement.PromptSize;

/**
 * Size and parts of a prompt. Immutable.
 *
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens of the answer at most
 * @param parts parts in order; all but the last may be shared with other requests
 */
public record Prompt(long promptTokens, long outputTokens, List<CachedPart> parts) {

    /** Creates a prompt. */
    public Prompt {
        Preconditions.checkArgument(
                promptTokens >= 0 && outputTokens >= 0,
                "token counts must not be negative: %s, %s",
                promptTokens,
                outputTokens);
        parts = List.copyOf(parts);
    }

    /** Returns what counts against an account's limit. */
    public long chargedTokens() {
        return promptTokens + outputTokens;
    }

    /** Returns its size for placement. */
    public PromptSize size() {
        long shared = parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .mapToLong(CachedPart::tokens)
                .sum();
        return new PromptSize(promptTokens, shared, outputTokens);
    }

    /** Returns a hash of the shared start, or 0 if nothing is shared. */
    public long prefixHash() {
        return parts.size() < 2
                ? 0
                : RendezvousHash.hash(parts.get(parts.size() - 2).id());
    }
}
