package org.toucanlane.domain.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Suggests the known name that is closest to a misspelled one. Stateless and thread-safe. */
public final class NameSuggester {

    private NameSuggester() {}

    /** Returns the name in {@code known} with the smallest edit distance, or empty if none is similar. */
    public static Optional<String> suggest(String typed, Collection<String> known) {
        int maxDistance = Math.max(2, typed.length() / 3);
        return known.stream()
                .filter(name -> editDistance(typed, name) <= maxDistance)
                .min(Comparator.<String>comparingInt(name -> editDistance(typed, name))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Returns the case-insensitive Levenshtein distance (1966). */
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
