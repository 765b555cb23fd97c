/** Structured logging and metrics of a host. */
package org.toucanlane.edge.telemetry;
