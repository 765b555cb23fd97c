/** Request processing: parsing, admission, routing, attempts, forwarding of the response, and retries. */
package org.toucanlane.edge.call;
