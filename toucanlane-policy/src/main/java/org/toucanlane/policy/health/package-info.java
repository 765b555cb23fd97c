/** What observed calls say of an endpoint's health. */
package org.toucanlane.policy.health;
