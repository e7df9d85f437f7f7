package io.daisyhoist.core.retry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identity of a request, used to detect requests that crash backend servers. Immutable.
 *
 * @param value attempt token if there is one, otherwise a hash of method, path and body
 */
public record Fingerprint(String value) {
    /** Returns the fingerprint of a request with an attempt token. */
    public static Fingerprint ofToken(String token) {
        return new Fingerprint(token);
    }

    /** Returns the fingerprint of a request without an attempt token. */
    public static Fingerprint ofRequest(String method, String path, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            addWithLength(digest, method.getBytes(StandardCharsets.UTF_8));
            addWithLength(digest, path.getBytes(StandardCharsets.UTF_8));
            return new Fingerprint("sha256:" + HexFormat.of().formatHex(digest.digest(body)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private static void addWithLength(MessageDigest digest, byte[] part) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
        digest.update(part);
    }
}
