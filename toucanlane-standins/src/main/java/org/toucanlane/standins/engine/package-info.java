/** Stand-in of a model engine; its protocol is in {@code docs/ENGINE-PROTOCOL.md}. */
package org.toucanlane.standins.engine;
