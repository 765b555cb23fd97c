/** Operators' configuration files, their validation, and the fleet configuration assembled from them. */
package org.toucanlane.domain.configuration;
