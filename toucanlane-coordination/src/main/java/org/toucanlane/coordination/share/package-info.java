/**
 * Division of a rate limit between hosts without agreement on a request's path.
 *
 * <p>A token bucket {@code (rate, burst)} splits exactly: if the shares sum to at most {@code (rate, burst)}, so does
 * everything admitted in any window. Holders of shares lend tokens to other hosts; a lender debits before it answers.
 * See {@code docs/DECISIONS/0002-share-ledger.md}.
 */
package org.toucanlane.coordination.share;
