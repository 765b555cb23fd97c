/** Client accounts with their rate limits, residency and API keys. */
package org.toucanlane.domain.account;
