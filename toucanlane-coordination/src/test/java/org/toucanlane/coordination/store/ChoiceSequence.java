package org.toucanlane.coordination.store;

import java.util.ArrayList;
import java.util.List;

/** All sequences of choices, one after another; beyond a depth every choice is the first. Not thread-safe. */
public final class ChoiceSequence {

    private final int depth;
    private final List<Integer> picked = new ArrayList<>();
    private final List<Integer> optionCounts = new ArrayList<>();
    private int position;

    /** Starts with the sequence of first choices. */
    public ChoiceSequence(int depth) {
        this.depth = depth;
    }

    /** Returns the current sequence's next choice, from 0 to {@code width - 1}. */
    public int pick(int width) {
        if (position == depth) {
            return 0;
        }
        if (position == picked.size()) {
            picked.add(0);
            optionCounts.add(width);
        }
        return picked.get(position++);
    }

    /** Goes back to the beginning of the current sequence. */
    public void rewind() {
        position = 0;
    }

    /** Goes on to the next sequence; returns false if there is none. */
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
