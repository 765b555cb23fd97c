/**
 * Divides a rate limit between hosts without coordination on the request path.
 *
 * <p>A token bucket {@code (rate, burst)} can be split exactly: if the shares sum to at most {@code (rate, burst)}, the
 * total admitted in any window stays within that limit. Holders of shares lend tokens to other hosts; a lender debits
 * its share before it replies.
 * See {@code docs/DECISIONS/0002-share-ledger.md}.
 */
package org.toucanlane.coordination.share;
