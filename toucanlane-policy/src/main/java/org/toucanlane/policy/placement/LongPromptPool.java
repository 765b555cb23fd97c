package org.toucanlane.policy.placement;

import com.google.common.base.Preconditions;
import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * Divides the engines of a service in one region into those that are preferred for long prompts and the others.
 *
 * <p>Load pattern: long prompts among answers that are streamed for seconds. An engine prefills a long prompt in chunks
 * between the decoding steps of its running requests, so several long prompts in a row hold up each running stream for
 * longer than its callers accept. On a few engines that serve mostly long prompts they hold up few streams, and find
 * more of their shared prefixes cached.
 *
 * <p>The division depends only on the names of the engines and on the fraction of the work that long prompts cause, so
 * all hosts divide alike without coordination, and a change of the fraction or of the set of engines moves few of them.
 * Immutable and thread-safe.
 *
 * @param fraction fraction of the engines that are preferred for long prompts, from 0 to 1
 */
public record LongPromptPool(double fraction) {

    /** Assigns no engine to long prompts. */
    public static final LongPromptPool NONE = new LongPromptPool(0);

    /** Assigns all engines to long prompts. */
    public static final LongPromptPool ALL = new LongPromptPool(1);

    /** Tokens to prefill from which a prompt is long: more than an engine prefills between two decoding steps. */
    private static final long MIN_LONG_PROMPT_TOKENS = 2_048;

    /** Key of the rendezvous hash by which engines are ranked. */
    private static final long RANKING_KEY = RendezvousHash.hash("long prompts");

    /** Validates the component. */
    public LongPromptPool {
        Preconditions.checkArgument(fraction >= 0 && fraction <= 1, "fraction must be from 0 to 1: %s", fraction);
    }

    /** Returns whether a prompt counts as long. */
    public static boolean isLong(PromptSize size) {
        return size.promptTokens() >= MIN_LONG_PROMPT_TOKENS;
    }

    /**
     * Returns those of {@code engines} that are preferred for long prompts. For a fraction between 0 and 1, both parts
     * have at least one engine if there are two or more.
     *
     * @param engines hashes of the names of all engines of the region
     */
    public Set<Long> members(Collection<Long> engines) {
        if (fraction == 0 || fraction < 1 && engines.size() < 2) {
            return Set.of();
        }
        if (fraction == 1) {
            return Set.copyOf(engines);
        }
        long count = Math.max(1, Math.min(engines.size() - 1, Math.round(fraction * engines.size())));
        return engines.stream()
                .sorted(Comparator.comparingLong(engine -> RendezvousHash.weight(RANKING_KEY, engine)))
                .limit(count)
                .collect(Collectors.toSet());
    }
}
