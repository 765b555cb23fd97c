/** Client of the platform's key-value store; its protocol is in {@code docs/STORE-PROTOCOL.md}. */
package org.toucanlane.platform.store;
