/** Request metrics and the request log. */
package org.toucanlane.gateway.telemetry;
