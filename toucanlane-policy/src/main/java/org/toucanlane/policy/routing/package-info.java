/** Pure functions that decide in which data centre and at which endpoint a request runs. */
package org.toucanlane.policy.routing;
