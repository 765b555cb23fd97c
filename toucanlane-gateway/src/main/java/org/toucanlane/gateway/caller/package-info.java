/** What callers talk to: the HTTP resources, their keys, and the answers they get. */
package org.toucanlane.gateway.caller;
