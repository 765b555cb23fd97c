package org.toucanlane.policy.offer;

import com.google.common.base.Preconditions;

/**
 * What a region reports about one service: the demand of its own callers, and the room that it offers to other regions.
 *
 * <p>Load pattern: a region with too little room beside one with spare room, where every host of the first sees the same
 * idle endpoints of the second. Since the hosts divide the offer, their requests add up to what the second region can
 * take. Immutable.
 *
 * @param demand demand of the region's own callers
 * @param places number of requests that the region takes beyond it; 0 for no offer
 * @param tokens prompt tokens that these requests may add; unused for a service without prompts
 * @param turn number of the report, from which hosts derive who gets the indivisible rest of the places
 */
public record ServiceOffer(Demand demand, int places, long tokens, int turn) {

    /** Validates the components. */
    public ServiceOffer {
        Preconditions.checkArgument(places >= 0, "places must not be negative: %s", places);
        Preconditions.checkArgument(tokens >= 0, "tokens must not be negative: %s", tokens);
        Preconditions.checkArgument(turn >= 0, "turn must not be negative: %s", turn);
    }

    /** Returns an offer of no room. */
    public static ServiceOffer none(Demand demand) {
        return new ServiceOffer(demand, 0, 0, 0);
    }

    /** Returns whether any room is offered. */
    public boolean hasRoom() {
        return places > 0;
    }

    /**
     * Returns the part of this offer for one of the hosts that may use it. The parts of all hosts add up to the offer at
     * most.
     *
     * @param index index of the host in the order of names
     * @param hosts number of hosts that may use the offer
     */
    public ServiceOffer part(int index, int hosts) {
        Preconditions.checkElementIndex(index, hosts, "host");
        int rest = places % hosts;
        int ownPlaces = places / hosts + ((index + turn) % hosts < rest ? 1 : 0);
        return new ServiceOffer(demand, ownPlaces, places == 0 ? 0 : tokens * ownPlaces / places, turn);
    }

    /**
     * The rate of requests for a service.
     *
     * @param requestsPerSecond requests per second
     * @param tokensPerSecond prompt tokens per second that have to be prefilled for them
     */
    public record Demand(double requestsPerSecond, double tokensPerSecond) {

        /** No demand. */
        public static final Demand NONE = new Demand(0, 0);

        /** Returns the sum. */
        public Demand plus(Demand other) {
            return new Demand(requestsPerSecond + other.requestsPerSecond, tokensPerSecond + other.tokensPerSecond);
        }
    }
}
