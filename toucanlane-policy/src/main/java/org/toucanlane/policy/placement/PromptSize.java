package org.toucanlane.policy.placement;

/**
 * The size of a request to a model engine.
 *
 * @param promptTokens tokens of the prompt
 * @param sharedPrefixTokens tokens of the prompt that other requests share
 * @param maxOutputTokens tokens of the answer at most
 */
public record PromptSize(long promptTokens, long sharedPrefixTokens, long maxOutputTokens) {

    /** A request to a plain service. */
    public static final PromptSize NONE = new PromptSize(0, 0, 0);
}
