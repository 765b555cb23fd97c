/** The operators' files, their checks, and the configuration that they add up to. */
package org.toucanlane.domain.configuration;
