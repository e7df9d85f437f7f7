package io.daisyhoist.core.customer;

/**
 * Customer of a request and the key by which the request was accepted. Immutable.
 *
 * @param customer name of the customer
 * @param key hash of the key, by which another daemon checks again that the key is valid
 */
public record CustomerCredential(CustomerName customer, ApiKeyHash key) {}
