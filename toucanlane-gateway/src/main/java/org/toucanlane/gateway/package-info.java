/** The gateway daemon: settings, dependency injection and start-up. */
package org.toucanlane.gateway;
