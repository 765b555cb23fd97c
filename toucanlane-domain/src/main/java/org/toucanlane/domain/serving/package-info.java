/** Configuration that hosts use to serve requests: routes by path, services, accounts by key, and endpoints. */
package org.toucanlane.domain.serving;
