/** The store's contents as this host knows them, and how old that knowledge is. */
package org.toucanlane.edge.state;
