package io.daisyhoist.cli.folder;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.daisyhoist.cli.output.Json;
import io.daisyhoist.core.config.ConfigDocument;
import io.daisyhoist.core.config.ConfigFile;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/**
 * Revisions on which the files of one folder are based, kept in {@value #FILE_NAME} in that folder, for each platform.
 *
 * <p>They let a push tell an operator's own change from a change that someone else made since. Not thread-safe.
 */
public final class BaseRevisions {
    static final String FILE_NAME = ".daisyhoist.json";

    private final Path folder;
    private final String platform;
    private final Content content;

    /**
     * State of a file when it was last equal to the platform's copy.
     *
     * @param revision its revision
     * @param sha256 hash of its text
     */
    public record Base(long revision, String sha256) {}

    private record Content(Map<String, Map<String, Base>> platforms) {
        Content {
            Map<String, Map<String, Base>> copy = new TreeMap<>();
            if (platforms != null) {
                platforms.forEach((url, files) -> copy.put(url, new TreeMap<>(files)));
            }
            platforms = copy;
        }
    }

    private BaseRevisions(Path folder, String platform, Content content) {
        this.folder = folder;
        this.platform = platform;
        this.content = content;
    }

    /**
     * Reads the revisions of a folder; a folder without them has none.
     *
     * @throws DaisyhoistException with {@link ErrorCode#USAGE}, when they cannot be read
     */
    public static BaseRevisions load(Path folder, URI platform) {
        Path file = folder.resolve(FILE_NAME);
        try {
            Optional<Content> content = Files.exists(file)
                    ? Optional.ofNullable(Json.MAPPER.readValue(Files.readString(file), Content.class))
                    : Optional.empty();
            return new BaseRevisions(folder, platform.toString(), content.orElseGet(() -> new Content(Map.of())));
        } catch (IOException e) {
            throw new DaisyhoistException(ErrorCode.USAGE, "cannot read " + file + "; remove it if it is damaged", e);
        }
    }

    /** Finds the base of a file. */
    public Optional<Base> base(String file) {
        return Optional.ofNullable(
                content.platforms().getOrDefault(platform, Map.of()).get(file));
    }

    /** Records a file if its text equals the platform's copy. */
    public void record(LocalFile file, ConfigDocument document) {
        Optional<ConfigFile> stored = document.file(file.name());
        if (stored.filter(copy -> copy.content().equals(file.content())).isPresent()) {
            files().put(file.name(), new Base(stored.get().revision(), file.sha256()));
        }
    }

    /** Forgets a file that was removed from the platform. */
    public void forget(String file) {
        files().remove(file);
    }

    /**
     * Writes the revisions, replacing the file at once.
     *
     * @throws DaisyhoistException when they cannot be written
     */
    public void save() {
        Path target = folder.resolve(FILE_NAME);
        Path temporary = folder.resolve(FILE_NAME + ".tmp");
        try {
            Files.writeString(
                    temporary, Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(content) + "\n");
            Files.move(temporary, target, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new DaisyhoistException(ErrorCode.INTERNAL, "cannot write " + target, e);
        }
    }

    private Map<String, Base> files() {
        return content.platforms().computeIfAbsent(platform, unused -> new TreeMap<>());
    }
}
