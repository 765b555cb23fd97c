/** The HTTP API for callers: resources, API key authentication and responses. */
package org.toucanlane.gateway.caller;
