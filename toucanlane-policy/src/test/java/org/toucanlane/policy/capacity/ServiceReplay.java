package org.toucanlane.policy.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.policy.admission.AdmissionLimit;
import org.toucanlane.policy.placement.EndpointLoad;
import org.toucanlane.policy.placement.EndpointPlacer;
import org.toucanlane.policy.placement.Placement;
import org.toucanlane.policy.placement.PlacementCandidate;
import org.toucanlane.policy.placement.PromptSize;

/** Replays prompts at engines of different speeds, each of which prefills one prompt after the other. */
final class ServiceReplay {

    static final double MILLI = 1e6;
    private static final int SLOTS = 48;
    private static final double DECODING_MILLIS = 300;
    private static final AdmissionLimit LIMIT = new AdmissionLimit(Duration.ofMillis(800), 0);

    /** What the placement knows of the speeds. */
    enum Knowledge {
        DEVIATION_ONLY {
            @Override
            double slowdown(Engine engine, int running, double now) {
                return engine.learned.deviation((long) (now * MILLI));
            }
        },
        LEARNED {
            @Override
            double slowdown(Engine engine, int running, double now) {
                long nanos = (long) (now * MILLI);
                return engine.learned.slowdown(engine.learned.deviation(nanos), running, nanos);
            }
        },
        ORACLE {
            @Override
            double slowdown(Engine engine, int running, double now) {
                return (1 + engine.perRunning * Math.min(SLOTS, running)) / engine.speed;
            }
        };

        abstract double slowdown(Engine engine, int running, double now);
    }

    /** An engine; each 600 ms it is 2.5 times slower with a probability of {@code noise}. */
    static final class Engine {
        final EndpointSpeed learned;
        final Random noiseSource;
        final PriorityQueue<Double> ends = new PriorityQueue<>();
        final List<double[]> pending = new ArrayList<>();
        double speed;
        double perRunning;
        double noise;
        double freeAt;
        int requests;
        private int window = -1;
        private double momentary = 1;

        Engine(EndpointSpeed learned, double speed, long seed) {
            this.learned = learned;
            this.speed = speed;
            this.noiseSource = new Random(seed);
        }

        private double millisFactor(double time) {
            for (; window < (int) (time / 600); window++) {
                momentary = noiseSource.nextDouble() < noise ? 2.5 : 1;
            }
            return momentary * (1 + perRunning * Math.min(SLOTS, ends.size())) / speed;
        }

        private EndpointLoad load(ServiceSpeeds service, Knowledge knowledge, double now) {
            while (!ends.isEmpty() && ends.peek() <= now) {
                ends.remove();
            }
            pending.removeIf(entry -> entry[0] <= now);
            long tokens = (long) pending.stream().mapToDouble(entry -> entry[1]).sum();
            String id = learned.endpoint();
            double slowdown = knowledge.slowdown(this, ends.size(), now);
            return new EndpointLoad(
                    id,
                    RendezvousHash.hash(id),
                    knowledge == Knowledge.LEARNED ? learned.usefulSlots(SLOTS) : SLOTS,
                    ends.size(),
                    tokens,
                    0,
                    340_000,
                    slowdown,
                    0,
                    DECODING_MILLIS,
                    knowledge == Knowledge.LEARNED ? service.profile() : EngineProfile.START);
        }

        /** Runs a request and returns the time of its first response. */
        private double run(long tokens, double now) {
            double start = Math.max(now, freeAt);
            double factor = millisFactor(start);
            freeAt = start + tokens / 50.0 * factor;
            double first = freeAt + (60 + 0.5 * ends.size()) * factor;
            ends.add(first + DECODING_MILLIS * factor);
            pending.add(new double[] {first, tokens});
            requests++;
            return first;
        }
    }

    final List<Engine> engines = new ArrayList<>();
    final List<String> changes = new ArrayList<>();
    final ServiceSpeeds service = new ServiceSpeeds(800, (id, from, to) -> changes.add(id));
    private final Random random;
    private final Knowledge knowledge;
    private final PriorityQueue<Response> responses =
            new PriorityQueue<>((one, other) -> Double.compare(one.at, other.at));
    double now;

    ServiceReplay(Knowledge knowledge, long seed, double... speeds) {
        this.knowledge = knowledge;
        this.random = new Random(seed);
        for (double speed : speeds) {
            add(speed);
        }
    }

    Engine add(double speed) {
        String id = "e" + engines.size();
        EndpointSpeed learned = service.add(id, () -> SpeedEstimate.NONE, (long) (now * MILLI));
        Engine engine = new Engine(learned, speed, random.nextLong());
        engines.add(engine);
        return engine;
    }

    /** Runs until {@code end} at {@code perSecond} requests, and returns the times to the first response, in ms. */
    List<Double> run(double end, double perSecond) {
        List<Double> times = new ArrayList<>();
        while (true) {
            now += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            if (now > end) {
                now = end;
                return times;
            }
            deliver();
            times.add(send());
        }
    }

    private double send() {
        long tokens = random.nextInt(10) == 0 ? 3_700 : 300;
        List<PlacementCandidate> candidates = engines.stream()
                .map(engine -> new PlacementCandidate(engine.load(service, knowledge, now), 0, 0, 0))
                .toList();
        PromptSize size = new PromptSize(tokens, 0, 40);
        Placement placement =
                EndpointPlacer.place(candidates, size, LIMIT, 0, random).orElseThrow();
        int index = Integer.parseInt(placement.endpoint().substring(1));
        EndpointLoad load = candidates.get(index).load();
        double first = engines.get(index).run(tokens, now);
        EndpointSpeed.Expectation expected = new EndpointSpeed.Expectation(
                placement.estimateMillis(),
                load.slowdownFactor(),
                load.meanServiceMillis(),
                true,
                load.pendingPromptTokens(),
                tokens,
                load.running());
        responses.add(new Response(first, now, index, expected));
        return first - now;
    }

    private void deliver() {
        while (!responses.isEmpty() && responses.peek().at <= now) {
            Response next = responses.remove();
            engines.get(next.engine).learned.recordFirstResponse(next.expected, next.at - next.sentAt, (long)
                    (next.at * MILLI));
        }
    }

    private record Response(double at, double sentAt, int engine, EndpointSpeed.Expectation expected) {}
}
