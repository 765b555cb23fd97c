package org.toucanlane.policy.placement;

/**
 * The size of a request to a model engine, in tokens.
 *
 * @param promptTokens length of the prompt
 * @param sharedPrefixTokens length of the prompt prefix that is shared with other requests
 * @param maxOutputTokens maximum number of output tokens
 */
public record PromptSize(long promptTokens, long sharedPrefixTokens, long maxOutputTokens) {

    /** The size of a request to a plain service, which has no prompt. */
    public static final PromptSize NONE = new PromptSize(0, 0, 0);
}
