/** Routes from callers' requests to services. */
package org.toucanlane.domain.route;
