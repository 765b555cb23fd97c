/** Calls to endpoints: model engines and plain services. */
package org.toucanlane.platform.endpoint;
