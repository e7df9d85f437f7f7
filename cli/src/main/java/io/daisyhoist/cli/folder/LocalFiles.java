package io.daisyhoist.cli.folder;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/**
 * Configuration files given on the command line. Immutable.
 *
 * @param explicitFiles files given individually
 * @param folderFiles files found in the given folders
 */
public record LocalFiles(List<LocalFile> explicitFiles, List<LocalFile> folderFiles) {
    /** Copies the lists. */
    public LocalFiles {
        explicitFiles = List.copyOf(explicitFiles);
        folderFiles = List.copyOf(folderFiles);
    }

    /** Reads the given files and the {@code .toml} files directly in the given folders. */
    public static LocalFiles read(Path directory, List<String> arguments) {
        List<LocalFile> explicitFiles = new ArrayList<>();
        List<LocalFile> folderFiles = new ArrayList<>();
        for (String argument : arguments) {
            Path path = resolve(directory, argument);
            if (Files.isDirectory(path)) {
                listTomlFiles(path, argument).forEach(file -> folderFiles.add(LocalFile.read(file)));
            } else {
                explicitFiles.add(readExplicitFile(path, argument));
            }
        }
        return new LocalFiles(explicitFiles, folderFiles);
    }

    /** Returns all files. */
    public List<LocalFile> all() {
        return Stream.concat(explicitFiles.stream(), folderFiles.stream()).toList();
    }

    /** Resolves a path from the command line. */
    public static Path resolve(Path directory, String argument) {
        try {
            return directory.resolve(argument);
        } catch (InvalidPathException e) {
            throw usageError("not a path: " + argument);
        }
    }

    private static LocalFile readExplicitFile(Path path, String argument) {
        if (!Files.isRegularFile(path)) {
            throw usageError("there is no file or folder " + argument);
        }
        return LocalFile.read(path);
    }

    private static List<Path> listTomlFiles(Path folder, String argument) {
        try (Stream<Path> paths = Files.list(folder)) {
            List<Path> files = paths.filter(
                            path -> path.getFileName().toString().endsWith(".toml"))
                    .filter(Files::isRegularFile)
                    .sorted()
                    .toList();
            if (files.isEmpty()) {
                throw usageError("there are no .toml files in " + argument);
            }
            return files;
        } catch (IOException e) {
            throw new DaisyhoistException(ErrorCode.USAGE, "cannot list " + argument, e);
        }
    }

    private static DaisyhoistException usageError(String message) {
        return new DaisyhoistException(ErrorCode.USAGE, message);
    }
}
