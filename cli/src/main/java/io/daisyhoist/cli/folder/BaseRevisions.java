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
 * Base revisions of the files in one folder, stored for each platform in {@value #FILE_NAME} in that folder.
 *
 * <p>They allow a push to distinguish local changes from changes that other operators have pushed since. Not
 * thread-safe.
 */
public final class BaseRevisions {
    static final String FILE_NAME = ".daisyhoist.json";

    private final Path folder;
    private final String platform;
    private final Content content;

    /**
     * State of a file when it was last identical to the platform's copy.
     *
     * @param revision revision of the file
     * @param sha256 hash of its content
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
     * Loads the base revisions of a folder, none if it has no {@value #FILE_NAME}.
     *
     * @throws DaisyhoistException with {@link ErrorCode#USAGE} if they cannot be read
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

    /** Finds the base revision of a file. */
    public Optional<Base> find(String file) {
        return Optional.ofNullable(
                content.platforms().getOrDefault(platform, Map.of()).get(file));
    }

    /** Records the revision of a file if its content is identical to the platform's copy. */
    public void recordIfIdentical(LocalFile file, ConfigDocument document) {
        Optional<ConfigFile> stored = document.file(file.name());
        if (stored.filter(copy -> copy.content().equals(file.content())).isPresent()) {
            currentBases().put(file.name(), new Base(stored.get().revision(), file.sha256()));
        }
    }

    /** Removes the entry of a file that was removed from the platform. */
    public void remove(String file) {
        currentBases().remove(file);
    }

    /**
     * Saves the revisions, replacing the file atomically.
     *
     * @throws DaisyhoistException if they cannot be written
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

    private Map<String, Base> currentBases() {
        return content.platforms().computeIfAbsent(platform, absent -> new TreeMap<>());
    }
}
