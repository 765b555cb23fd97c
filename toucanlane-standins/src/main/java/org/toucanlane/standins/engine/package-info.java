/** Stand-in for a model engine that implements the protocol in {@code docs/ENGINE-PROTOCOL.md}. */
package org.toucanlane.standins.engine;
