/** Processing of authenticated requests: admission, choice of data centre and endpoint, dispatch and retries. */
package org.toucanlane.gateway.dispatch;
