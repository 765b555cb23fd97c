/** Client of the platform's key-value service; its protocol is in {@code docs/STORE-PROTOCOL.md}. */
package org.toucanlane.platform.store;
