package io.daisyhoist.core.customer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 hash of an API key.
 *
 * <p>Keys are compared by their hashes, so that the time of a comparison does not depend on how much of a guessed key is
 * right, and a key cannot be read from logs, messages or heap dumps. Immutable.
 *
 * @param hex hash as 64 lower-case hexadecimal digits
 */
public record ApiKeyHash(String hex) {
    private static final int HASH_BYTES = 32;
    private static final int HEX_DIGITS = 2 * HASH_BYTES;

    /** Validates the length. */
    public ApiKeyHash {
        if (hex.length() != HEX_DIGITS) {
            throw new IllegalArgumentException("not a SHA-256 hash");
        }
    }

    /** Computes the hash of a key as a client sends it. */
    public static ApiKeyHash ofKey(String apiKey) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(apiKey.getBytes(StandardCharsets.UTF_8));
            return ofBytes(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Creates a hash from the bytes that {@link #bytes} returns. */
    public static ApiKeyHash ofBytes(byte[] hash) {
        return new ApiKeyHash(HexFormat.of().formatHex(hash));
    }

    /** Returns the 32 bytes of the hash. */
    public byte[] bytes() {
        return HexFormat.of().parseHex(hex);
    }

    @Override
    public String toString() {
        return "ApiKeyHash";
    }
}
