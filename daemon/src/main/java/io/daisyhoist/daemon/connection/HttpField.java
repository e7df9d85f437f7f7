package io.daisyhoist.daemon.connection;

/**
 * HTTP header field. Immutable.
 *
 * @param name field name
 * @param value field value
 */
public record HttpField(String name, String value) {}
