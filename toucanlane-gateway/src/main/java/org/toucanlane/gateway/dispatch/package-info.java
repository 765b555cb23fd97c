/** The path of a request once it is known whose it is: admission, choice of place, sending, repeats. */
package org.toucanlane.gateway.dispatch;
