/** Routes that map callers' requests to services. */
package org.toucanlane.domain.route;
