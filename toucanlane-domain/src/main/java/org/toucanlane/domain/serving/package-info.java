/** What a host needs to know to serve a request: routes by path, services, accounts by key, endpoints. */
package org.toucanlane.domain.serving;
