/** Client of the platform's eventually consistent host list; its protocol is in {@code docs/STORE-PROTOCOL.md}. */
package org.toucanlane.platform.hostlist;
