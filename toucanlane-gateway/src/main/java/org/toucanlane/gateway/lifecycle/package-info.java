/** Startup, periodic background tasks and graceful shutdown of a host. */
package org.toucanlane.gateway.lifecycle;
