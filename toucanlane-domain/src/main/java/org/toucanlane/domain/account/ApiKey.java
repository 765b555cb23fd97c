package org.toucanlane.domain.account;

/**
 * An API key as stored: only its keyed hash is kept, never the key itself.
 *
 * @param id public part of the key
 * @param account name of the account that it belongs to
 * @param hash keyed hash of the whole key, in lower-case hexadecimal digits
 */
public record ApiKey(String id, String account, String hash) {}
