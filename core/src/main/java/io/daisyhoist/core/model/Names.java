package io.daisyhoist.core.model;

import java.util.regex.Pattern;

/** Syntax of names used in settings, URLs and records. Stateless. */
public final class Names {
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private Names() {}

    /** Returns whether a name has the required syntax. */
    public static boolean isValid(String name) {
        return name != null && NAME_PATTERN.matcher(name).matches();
    }

    static void requireValid(String kind, String name) {
        if (!isValid(name)) {
            throw new IllegalArgumentException(kind
                    + " must be 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit: " + name);
        }
    }
}
