package io.daisyhoist.core.customer;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class CustomerTableTest {
    private static final ApiKeyHash FIRST = ApiKeyHash.ofKey("first");
    private static final ApiKeyHash SECOND = ApiKeyHash.ofKey("second");

    private static Customer customer(String name, ApiKeyHash key) {
        return new Customer(new CustomerName(name), Set.of(key), OptionalInt.empty(), Optional.empty());
    }

    /** Guards against the key of a customer that a later entry of the same name has replaced. */
    @Test
    void create_equalNames_laterOneReplacesKeys() {
        Customer later = customer("a", SECOND);
        CustomerTable table = new CustomerTable(List.of(customer("a", FIRST), later));
        assertEquals(Optional.empty(), table.findByKey(FIRST));
        assertEquals(Optional.of(later), table.findByKey(SECOND));
    }

    /** Guards against a key without a customer when a replaced entry had the same key. */
    @Test
    void create_equalNamesAndKeys_keepsKey() {
        Customer later = customer("a", FIRST);
        assertEquals(Optional.of(later), new CustomerTable(List.of(customer("a", FIRST), later)).findByKey(FIRST));
    }
}
