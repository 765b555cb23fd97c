/** Configuration of HTTP clients that is common to all services of the platform. */
package org.toucanlane.platform.http;
