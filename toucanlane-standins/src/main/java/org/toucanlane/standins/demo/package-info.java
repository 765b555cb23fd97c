/** The demonstration: a whole deployment, and what the system does for its users, one step after another. */
package org.toucanlane.standins.demo;
