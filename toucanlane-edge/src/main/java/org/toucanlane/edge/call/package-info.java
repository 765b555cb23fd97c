/** The way of a request: read, admit, place, send, pass the answer on, and decide what a failure means. */
package org.toucanlane.edge.call;
