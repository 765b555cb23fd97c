package org.toucanlane.domain.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Finds the known name that a mistyped one was probably meant to be. Stateless and thread-safe. */
public final class NameSuggester {

    private NameSuggester() {}

    /** Returns the closest of {@code known}, or empty if none is similar. */
    public static Optional<String> suggest(String typed, Collection<String> known) {
        int limit = Math.max(2, typed.length() / 3);
        return known.stream()
                .filter(name -> editDistance(typed, name) <= limit)
                .min(Comparator.<String>comparingInt(name -> editDistance(typed, name))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Returns the edit distance (Levenshtein, 1966), letter case aside. */
    private static int editDistance(String left, String right) {
        String a = left.toLowerCase(Locale.ROOT);
        String b = right.toLowerCase(Locale.ROOT);
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] current = new int[b.length() + 1];
            current[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substituted = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(substituted, Math.min(previous[j], current[j - 1]) + 1);
            }
            previous = current;
        }
        return previous[b.length()];
    }
}
