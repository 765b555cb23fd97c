/** Metrics and the log line of each request. */
package org.toucanlane.gateway.telemetry;
