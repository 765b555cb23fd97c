/** Client accounts, their limits, their residency and their API keys. */
package org.toucanlane.domain.account;
