/** The configuration in force on this host, and how newer versions reach it. */
package org.toucanlane.gateway.configuration;
