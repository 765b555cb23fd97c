/** HTTP client for calls to endpoints: model engines and plain services. */
package org.toucanlane.platform.endpoint;
