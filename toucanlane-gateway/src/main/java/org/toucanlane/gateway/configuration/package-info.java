/** The active configuration of this host and how it obtains newer versions. */
package org.toucanlane.gateway.configuration;
