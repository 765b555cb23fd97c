/** The host's daemon: wiring, settings and start-up. */
package org.toucanlane.gateway;
