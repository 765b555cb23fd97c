package org.toucanlane.domain.account;

/**
 * A key that callers present, known only by its keyed hash.
 *
 * @param id public part of the key
 * @param account name of the account that it belongs to
 * @param hash keyed hash of the whole key, in lower-case hexadecimal digits
 */
public record ApiKey(String id, String account, String hash) {}
