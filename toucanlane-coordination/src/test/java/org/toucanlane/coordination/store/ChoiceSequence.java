package org.toucanlane.coordination.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Enumerates all sequences of choices up to a depth, beyond which the first option is always chosen. Not thread-safe.
 */
public final class ChoiceSequence {

    private final int depth;
    private final List<Integer> picked = new ArrayList<>();
    private final List<Integer> optionCounts = new ArrayList<>();
    private int position;

    /** Creates an enumeration that starts with the first option of every choice. */
    public ChoiceSequence(int depth) {
        this.depth = depth;
    }

    /** Returns the next choice of the current sequence, from 0 to {@code optionCount - 1}. */
    public int pick(int optionCount) {
        if (position == depth) {
            return 0;
        }
        if (position == picked.size()) {
            picked.add(0);
            optionCounts.add(optionCount);
        }
        return picked.get(position++);
    }

    /** Restarts the current sequence. */
    public void rewind() {
        position = 0;
    }

    /** Advances to the next sequence. Returns false if there is none. */
    public boolean advance() {
        position = 0;
        while (!picked.isEmpty()) {
            int last = picked.size() - 1;
            if (picked.get(last) + 1 < optionCounts.get(last)) {
                picked.set(last, picked.get(last) + 1);
                return true;
            }
            picked.remove(last);
            optionCounts.remove(last);
        }
        return false;
    }

    @Override
    public String toString() {
        return picked.toString();
    }
}
