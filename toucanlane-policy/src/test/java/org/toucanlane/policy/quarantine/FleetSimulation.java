package org.toucanlane.policy.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Plays hosts that exchange crash evidence, and endpoints that crash on the segment {@link #CRASHING}.
 *
 * <p>Prompts begin with one of 59 segments of skewed popularity. Most go on with a segment of their session; the crashing
 * ones go on with {@link #CRASHING}. The last segment stands for the whole request and is new each time. Alternatively
 * {@link #CRASHING} is a whole request that comes again, whose prompt has only segments that others share. Deterministic
 * for a seed.
 */
final class FleetSimulation {

    static final String CRASHING = "crashing-segment";
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;

    private static final int FIRST_SEGMENTS = 59;
    private static final long CRASH_DELAY = 90 * MILLI;
    private static final long FIRST_EVENT_DELAY = 150 * MILLI;
    private static final long SURVIVAL_DELAY = FIRST_EVENT_DELAY + SegmentQuarantine.SURVIVAL_TIME.toNanos();
    private static final long RESTART_TIME = 3 * SECOND;
    private static final int ATTEMPTS = 3;

    /**
     * What is played.
     *
     * @param peers hosts to which a host sends its evidence in each round
     * @param crashingShare share of the requests that hold the crashing segment
     */
    record Settings(int hosts, int endpoints, int peers, double requestsPerSecond, double crashingShare, long seed) {}

    /** A request as a caller sent it. */
    record Request(List<String> segments, boolean crashing, long time, boolean held) {}

    private record Event(long time, long sequence, Runnable action) {}

    private final class Attempt {
        final int host;
        final List<String> segments;
        final int number;
        final long start = now;
        boolean over;

        Attempt(int host, List<String> segments, int number) {
            this.host = host;
            this.segments = segments;
            this.number = number;
        }
    }

    private static final class Endpoint {
        final int tag;
        final Deque<Attempt> attempts = new ArrayDeque<>();
        long upAgain;

        Endpoint(int tag) {
            this.tag = tag;
        }
    }

    final List<Request> requests = new ArrayList<>();
    final List<Long> crashes = new ArrayList<>();
    final List<Long> crashingSends = new ArrayList<>();
    /** Number of suspects at each host at each crash. */
    final List<Integer> suspects = new ArrayList<>();

    final Set<String> everQuarantined = new TreeSet<>();
    final List<SegmentQuarantine> hosts;
    int longestMessageBytes;

    private final Settings settings;
    private final Random random;
    private final List<Endpoint> endpoints;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
    private final double[] cumulativePopularity;
    private long sequence;
    private long sessions;
    private long now;

    /** Probability that the answer of an attempt at an endpoint is lost. */
    private final double[] lossAt;

    private boolean affinity;
    private boolean crashOnRequest;
    private long requestCount;
    private long crashingUntil = Long.MAX_VALUE;

    FleetSimulation(Settings settings) {
        this.settings = settings;
        this.random = new Random(settings.seed());
        this.hosts = new ArrayList<>(IntStream.range(0, settings.hosts())
                .mapToObj(i -> new SegmentQuarantine("host-" + i))
                .toList());
        this.endpoints =
                IntStream.range(0, settings.endpoints()).mapToObj(Endpoint::new).toList();
        this.lossAt = new double[settings.endpoints()];
        double[] weights = IntStream.range(0, FIRST_SEGMENTS)
                .mapToDouble(i -> 1.0 / (i + 1))
                .toArray();
        Arrays.parallelPrefix(weights, Double::sum);
        this.cumulativePopularity = weights;
        at(0, this::arrive);
        IntStream.range(0, settings.hosts()).forEach(host -> at(random.nextInt(100) * MILLI, () -> exchange(host)));
    }

    /** Schedules an action. */
    void at(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    void loseAnswers(int endpoint, double probability) {
        lossAt[endpoint] = probability;
    }

    void sendSegmentsToTheSameEndpoint() {
        affinity = true;
    }

    /** Makes {@link #CRASHING} a whole request. */
    void crashOnRequest() {
        crashOnRequest = true;
    }

    void stopCrashingRequestsAt(long time) {
        crashingUntil = time;
    }

    /** Takes an endpoint down and breaks what runs there. */
    void crash(int tag, long downTime) {
        Endpoint endpoint = endpoints.get(tag);
        if (endpoint.upAgain > now) {
            return;
        }
        endpoint.upAgain = now + downTime;
        List<Attempt> broken =
                endpoint.attempts.stream().filter(attempt -> !attempt.over).toList();
        broken.forEach(attempt -> attempt.over = true);
        endpoint.attempts.clear();
        broken.stream().map(attempt -> attempt.host).distinct().forEach(host -> {
            List<List<String>> begun = broken.stream()
                    .filter(attempt -> attempt.host == host && now - attempt.start < FIRST_EVENT_DELAY)
                    .map(attempt -> attempt.segments)
                    .toList();
            suspects.add(begun.size());
            at(now + random.nextInt(10) * MILLI, () -> hosts.get(host).recordCrash(tag, begun, now));
        });
        broken.stream()
                .filter(attempt -> now - attempt.start < FIRST_EVENT_DELAY)
                .forEach(attempt ->
                        at(now + 20 * MILLI, () -> attempt(attempt.host, attempt.segments, attempt.number + 1)));
    }

    /** Starts a host afresh. */
    void restart(int host) {
        hosts.set(host, new SegmentQuarantine("host-" + host));
    }

    void run(long until) {
        while (!events.isEmpty() && events.peek().time() <= until) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
    }

    /** Returns the share of the requests of a kind that were not held back. */
    double shareSent(Predicate<Request> kind) {
        return requests.stream()
                .filter(kind)
                .mapToInt(request -> request.held() ? 0 : 1)
                .average()
                .orElseThrow();
    }

    long crashingSendsAfter(long time) {
        return crashingSends.stream().filter(sent -> sent > time).count();
    }

    /** Returns the start of each crash event; retries crash further endpoints within the event of the first one. */
    List<Long> crashEvents() {
        List<Long> starts = new ArrayList<>();
        for (long crash : crashes) {
            if (starts.isEmpty() || crash - starts.get(starts.size() - 1) > Attribution.EVENT_NANOS) {
                starts.add(crash);
            }
        }
        return starts;
    }

    static String firstSegment(int i) {
        return "first-" + i;
    }

    private void arrive() {
        boolean crashing = now < crashingUntil && random.nextDouble() < settings.crashingShare();
        List<String> segments;
        if (crashing && crashOnRequest) {
            segments = List.of(firstSegment(0), CRASHING);
        } else {
            String second = crashing ? CRASHING : "session-" + sessions++;
            segments = List.of(firstSegment(pickFirst()), second, "request-" + requestCount++);
        }
        boolean held = attempt(random.nextInt(settings.hosts()), segments, 1);
        requests.add(new Request(segments, crashing, now, held));
        double gap = -Math.log(1 - random.nextDouble()) / settings.requestsPerSecond();
        at(now + (long) (gap * SECOND), this::arrive);
    }

    private int pickFirst() {
        double point = random.nextDouble() * cumulativePopularity[FIRST_SEGMENTS - 1];
        return (int)
                Arrays.stream(cumulativePopularity).filter(sum -> sum < point).count();
    }

    /** Sends a request if an endpoint is up. Returns whether it was held back instead. */
    private boolean attempt(int host, List<String> segments, int number) {
        if (number > ATTEMPTS) {
            return false;
        }
        if (hosts.get(host).holdTime(segments, now).isPresent()) {
            return true;
        }
        List<Endpoint> up =
                endpoints.stream().filter(endpoint -> endpoint.upAgain <= now).toList();
        if (up.isEmpty()) {
            return false;
        }
        int choice = affinity && number == 1
                ? Math.floorMod(segments.get(0).hashCode(), up.size())
                : random.nextInt(up.size());
        Endpoint endpoint = up.get(choice);
        Attempt attempt = new Attempt(host, segments, number);
        endpoint.attempts.removeIf(other -> other.over);
        endpoint.attempts.add(attempt);
        if (segments.contains(CRASHING)) {
            crashingSends.add(now);
            at(now + CRASH_DELAY, () -> {
                if (!attempt.over) {
                    crashes.add(now);
                    crash(endpoint.tag, RESTART_TIME);
                }
            });
        } else if (random.nextDouble() < lossAt[endpoint.tag]) {
            at(now + 40 * MILLI, () -> {
                if (!attempt.over) {
                    attempt.over = true;
                    hosts.get(host).recordCrash(endpoint.tag, List.of(segments), now);
                    at(now + 20 * MILLI, () -> attempt(host, segments, number + 1));
                }
            });
        } else {
            at(now + SURVIVAL_DELAY, () -> {
                if (!attempt.over) {
                    attempt.over = true;
                    hosts.get(host).recordSurvival(segments, now);
                }
            });
        }
        return false;
    }

    /** Sends evidence in datagrams, of which one in ten is lost. */
    private void exchange(int host) {
        at(now + 100 * MILLI, () -> exchange(host));
        everQuarantined.addAll(hosts.get(host).quarantined(now));
        CrashEvidence evidence = hosts.get(host).nextEvidence(now);
        if (evidence.isEmpty()) {
            return;
        }
        longestMessageBytes = Math.max(longestMessageBytes, length(evidence));
        for (int i = 0; i < settings.peers(); i++) {
            int peer = random.nextInt(settings.hosts());
            if (peer != host && random.nextDouble() >= 0.1) {
                at(now + (2 + random.nextInt(40)) * MILLI, () -> hosts.get(peer).merge(evidence, now));
            }
        }
    }

    /** Returns the length of the ids in a message, with a separator each. */
    static int length(CrashEvidence evidence) {
        int crashes = evidence.crashes().stream()
                .flatMap(crash -> crash.suspects().stream())
                .flatMap(List::stream)
                .mapToInt(segment -> segment.length() + 1)
                .sum();
        int clearances = evidence.clearances().stream()
                .mapToInt(clearance -> clearance.segment().length() + 1)
                .sum();
        return crashes + clearances;
    }
}
