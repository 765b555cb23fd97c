/** The demonstration: starts a complete deployment on loopback and shows and checks its main functions step by step. */
package org.toucanlane.standins.demo;
