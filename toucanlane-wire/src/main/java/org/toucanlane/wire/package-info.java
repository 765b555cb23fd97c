/**
 * Protocol between hosts: length-prefixed protobuf frames over TCP, with many calls multiplexed on one connection.
 *
 * <p>See {@code docs/PEER-PROTOCOL.md}.
 */
package org.toucanlane.wire;
