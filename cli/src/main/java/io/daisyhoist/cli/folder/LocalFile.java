package io.daisyhoist.cli.folder;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.ConfigFault;
import io.daisyhoist.core.config.InvalidConfigException;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/**
 * Configuration file on the operator's disk. Immutable.
 *
 * @param path path of the file
 * @param content text of the file
 */
public record LocalFile(Path path, String content) {
    /**
     * Reads a file.
     *
     * @throws InvalidConfigException if it is not UTF-8 text or too large
     * @throws DaisyhoistException with {@link ErrorCode#USAGE} if it cannot be read
     */
    public static LocalFile read(Path path) {
        try {
            if (Files.size(path) > ConfigDocument.MAX_BYTES) {
                throw invalidFile(
                        path, "is larger than the platform's limit of " + ConfigDocument.MAX_BYTES + " bytes");
            }
            return new LocalFile(path, Files.readString(path));
        } catch (CharacterCodingException e) {
            throw invalidFile(path, "is not UTF-8 text");
        } catch (IOException e) {
            throw new DaisyhoistException(ErrorCode.USAGE, "cannot read " + path, e);
        }
    }

    /** Returns the name under which the platform stores the file. */
    public String name() {
        return path.getFileName().toString();
    }

    /** Returns the folder that contains the file. */
    public Path folder() {
        return path.toAbsolutePath().getParent();
    }

    /** Returns the SHA-256 of the text in hexadecimal. */
    public String sha256() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(content.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new DaisyhoistException(ErrorCode.INTERNAL, "this Java runtime lacks SHA-256", e);
        }
    }

    private static InvalidConfigException invalidFile(Path path, String reason) {
        return new InvalidConfigException(
                List.of(new ConfigFault(path.getFileName().toString(), "", reason)));
    }
}
