package io.daisyhoist.core.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import io.daisyhoist.core.customer.CustomerBounds;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.customer.CustomerQuota;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/** Simulated fleet of gates and lenders with their own clocks, an unreliable network and a store of registrations. */
final class QuotaSimulation {
    static final CustomerBounds BOUNDS = CustomerBounds.DEFAULT;
    static final Duration CONFIG_APPLY = Duration.ofMillis(2_500);

    private static final long MILLI = 1_000_000L;
    private static final Duration REGISTRATION_VALIDITY = Duration.ofSeconds(9);
    private static final long MEMBER_EXPIRY = 9_900 * MILLI;
    private static final long LEASE_TTL = 3_000 * MILLI;
    private static final long EARLIEST_JOIN = 400 * MILLI;
    private static final long LATEST_JOIN = 20_000 * MILLI;
    private static final long CALL_TIMEOUT = 300 * MILLI;

    final SplittableRandom random;
    final List<Daemon> daemons = new ArrayList<>();
    double lossShare;
    private double largestShare;
    long messages;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Map<CustomerName, List<Change>> quotas = new HashMap<>();
    private final Map<CustomerName, List<Admission>> admissions = new HashMap<>();
    private final Map<DaemonId, Long> registeredUntil = new HashMap<>();
    private final int incarnationsBase = 1;
    private long now;
    private long order;

    record Event(long atNanos, long order, Runnable action) {}

    /** Quota that is in force from a time on. */
    record Change(long fromNanos, CustomerQuota quota) {}

    /** Admitted request. */
    static final class Admission {
        final long atNanos;
        boolean notRun;

        Admission(long atNanos) {
            this.atNanos = atNanos;
        }
    }

    QuotaSimulation(long seed, int daemonCount, int lateDaemons) {
        random = new SplittableRandom(~seed);
        for (int i = 0; i < daemonCount; i++) {
            daemons.add(new Daemon(new DaemonId("side-" + i)));
        }
        for (Daemon daemon : daemons) {
            boolean joinsLater = daemons.indexOf(daemon) < lateDaemons;
            long delay = joinsLater ? random.nextLong(LATEST_JOIN) : random.nextLong(EARLIEST_JOIN);
            at(delay, daemon::start);
        }
    }

    long now() {
        return now;
    }

    void at(long nanos, Runnable action) {
        events.add(new Event(Math.max(nanos, now), order++, action));
    }

    void after(Duration delay, Runnable action) {
        at(now + delay.toNanos(), action);
    }

    void run(Duration duration) {
        long end = now + duration.toNanos();
        while (!events.isEmpty() && events.peek().atNanos() <= end) {
            Event event = events.poll();
            now = event.atNanos();
            event.action().run();
        }
        now = end;
    }

    void setQuota(CustomerName customer, CustomerQuota quota) {
        quotas.computeIfAbsent(customer, any -> new ArrayList<>()).add(new Change(now, quota));
        for (Daemon daemon : daemons) {
            Runnable apply = () -> daemon.plans.put(customer, QuotaPlan.of(quota, BOUNDS));
            if (now == 0) {
                apply.run();
            } else {
                at(now + random.nextLong(CONFIG_APPLY.toNanos()), apply);
            }
        }
    }

    /** Sends a request of a customer to a daemon and records whether it was admitted. */
    void request(CustomerName customer, Daemon daemon, double notRunShare, Tally tally) {
        if (!daemon.alive) {
            return;
        }
        tally.sent++;
        daemon.whenRunning(() -> daemon.gate.acquire(customer, decision -> {
            if (!(decision instanceof QuotaDecision.Admitted admitted)) {
                return;
            }
            Admission admission = new Admission(now);
            admissions.computeIfAbsent(customer, any -> new ArrayList<>()).add(admission);
            if (random.nextDouble() < notRunShare) {
                admission.notRun = true;
                tally.notRun++;
                daemon.later(
                        random.nextLong(800 * MILLI), () -> admitted.permit().release());
            } else {
                tally.ran++;
            }
        }));
        daemon.whenRunning(daemon::send);
    }

    /** Returns the largest share of what was allowed that ran in a window. */
    double largestShare() {
        return largestShare;
    }

    /** Returns a description of the window in which most requests exceed what was allowed; empty if there is none. */
    Optional<String> violation(CustomerName customer) {
        List<Admission> ran = admissions.getOrDefault(customer, List.of()).stream()
                .filter(admission -> !admission.notRun)
                .sorted(Comparator.comparingLong(admission -> admission.atNanos))
                .toList();
        long window = BOUNDS.quotaWindow().toNanos();
        int first = 0;
        for (int last = 0; last < ran.size(); last++) {
            while (ran.get(last).atNanos - ran.get(first).atNanos >= window) {
                first++;
            }
            int count = last - first + 1;
            double allowed = allowed(customer, ran.get(last).atNanos - window, ran.get(last).atNanos);
            largestShare = Math.max(largestShare, count / allowed);
            if (count > allowed) {
                return Optional.of(customer + " ran " + count + " of " + allowed + " until "
                        + ran.get(last).atNanos / MILLI + " ms");
            }
        }
        return Optional.empty();
    }

    private double allowed(CustomerName customer, long from, long to) {
        double allowed = 0;
        List<Change> changes = quotas.get(customer);
        for (int i = 0; i < changes.size(); i++) {
            boolean begun = changes.get(i).fromNanos() <= to;
            boolean ended = i + 1 < changes.size() && changes.get(i + 1).fromNanos() + CONFIG_APPLY.toNanos() <= from;
            if (begun && !ended) {
                CustomerQuota quota = changes.get(i).quota();
                double inWindow =
                        quota.requestsPerSecond() * BOUNDS.quotaWindow().toSeconds() + quota.burst();
                allowed = Math.max(allowed, inWindow * (1 + BOUNDS.quotaOverRatio()) + BOUNDS.quotaSlack());
            }
        }
        return allowed;
    }

    private Daemon daemon(DaemonId id) {
        return daemons.stream()
                .filter(daemon -> daemon.id.equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Counts of requests. */
    static final class Tally {
        long sent;
        long ran;
        long notRun;
    }

    /** One daemon, whose process may be replaced. */
    final class Daemon implements TimeSource {
        final DaemonId id;
        boolean alive;
        boolean cutFromStore;
        boolean cutFromPeers;
        final Map<CustomerName, QuotaPlan> plans = new HashMap<>();
        QuotaAdmission gate;
        QuotaLender lender;
        private ShardTakeoverCheck claims;
        private boolean first;
        private final Map<DaemonId, Long> absentSince = new HashMap<>();
        private final Set<DaemonId> members = new HashSet<>();
        private QuotaShards shards = QuotaShards.EMPTY;
        private Optional<ElapsedTimer> confirmed = Optional.empty();
        private int generation;
        private long suspendedUntil;
        private long suspendedTotal;
        private long wallOffset;
        private boolean tickPending;

        Daemon(DaemonId id) {
            this.id = id;
        }

        @Override
        public long monotonicNanos() {
            return now - suspendedTotal;
        }

        @Override
        public Instant wallTime() {
            return Instant.EPOCH.plusNanos(now + wallOffset);
        }

        void start() {
            alive = true;
            generation++;
            first = generation == 1;
            members.clear();
            absentSince.clear();
            confirmed = Optional.empty();
            shards = QuotaShards.EMPTY;
            Duration window = BOUNDS.quotaWindow();
            ShardOwnership tenure = new ShardOwnership(id, this, window, () -> first);
            claims = new ShardTakeoverCheck(id, this, tenure);
            lender = new QuotaLender(
                    this,
                    window,
                    tenure,
                    () -> shards,
                    this::isRegistered,
                    customer -> Optional.ofNullable(plans.get(customer)));
            gate = new QuotaAdmission(
                    id,
                    this,
                    window,
                    random.split(),
                    () -> shards,
                    customer -> Optional.ofNullable(plans.get(customer)));
            later(0, this::tick);
            later(0, this::renew);
        }

        void kill() {
            alive = false;
            generation++;
        }

        void suspend(Duration duration) {
            suspendedUntil = now + duration.toNanos();
            suspendedTotal += duration.toNanos();
        }

        void jumpWallClock(Duration by) {
            wallOffset += by.toNanos();
        }

        private boolean isRegistered() {
            return confirmed
                    .filter(sentAt -> sentAt.elapsed(this).compareTo(REGISTRATION_VALIDITY) < 0)
                    .isPresent();
        }

        /** Runs an action of this process after a delay, not while it is suspended. */
        private void later(long delayNanos, Runnable action) {
            int process = generation;
            at(now + delayNanos, () -> {
                if (process == generation) {
                    whenRunning(action);
                }
            });
        }

        private void whenRunning(Runnable action) {
            if (suspendedUntil > now) {
                int process = generation;
                at(suspendedUntil, () -> {
                    if (process == generation) {
                        action.run();
                    }
                });
            } else {
                action.run();
            }
        }

        private void renew() {
            if (!cutFromStore) {
                registeredUntil.put(id, now + LEASE_TTL);
                confirmed = Optional.of(ElapsedTimer.start(this));
            }
            later(900 * MILLI, this::renew);
        }

        private void tick() {
            if (!cutFromStore) {
                readMembers();
            }
            lender.refresh();
            gate.tick();
            send();
            sendClaims();
            later((40 + random.nextInt(20)) * MILLI, this::tick);
        }

        private void readMembers() {
            Set<DaemonId> before = Set.copyOf(members);
            registeredUntil.forEach((member, until) -> {
                if (until > now) {
                    members.add(member);
                    absentSince.remove(member);
                } else if (members.contains(member)) {
                    absentSince.putIfAbsent(member, monotonicNanos());
                }
            });
            members.removeIf(member ->
                    absentSince.containsKey(member) && monotonicNanos() - absentSince.get(member) > MEMBER_EXPIRY);
            if (!before.equals(members)) {
                shards = new QuotaShards(members);
            }
        }

        private void send() {
            for (QuotaAsk ask : gate.nextAsks()) {
                Daemon target = daemon(ask.lender());
                messages++;
                later(CALL_TIMEOUT, () -> {
                    gate.onFailure(ask.number());
                    send();
                });
                if (target == this) {
                    reply(target, ask);
                } else {
                    deliver(target, () -> target.reply(this, ask));
                }
            }
        }

        private void sendClaims() {
            int process = generation;
            for (ShardTakeoverCheck.Claim claim : claims.next(shards)) {
                messages++;
                Daemon target = daemon(claim.daemon());
                deliver(target, () -> {
                    List<Integer> unused = claim.nextOwners().entrySet().stream()
                            .filter(shard -> target.lender.isUnused(shard.getKey(), id, shard.getValue()))
                            .map(Map.Entry::getKey)
                            .toList();
                    target.deliver(this, () -> {
                        if (process == generation) {
                            unused.forEach(shard -> claims.onUnused(target.id, shard));
                        }
                    });
                });
            }
        }

        private void deliver(Daemon target, Runnable action) {
            if (cutFromPeers || target.cutFromPeers || !target.alive || random.nextDouble() < lossShare) {
                return;
            }
            long delay = random.nextInt(20) == 0 ? random.nextLong(150 * MILLI) : random.nextLong(4 * MILLI);
            target.later(delay, action);
        }

        private void reply(Daemon borrower, QuotaAsk ask) {
            ProcessId process = new ProcessId(borrower.id, incarnationsBase + borrower.generation);
            List<QuotaPart> parts = ask.demands().stream()
                    .map(demand -> lender.lend(process, ask.number(), demand))
                    .toList();
            int process1 = borrower.generation;
            deliver(borrower, () -> {
                if (borrower.generation == process1) {
                    borrower.gate.onReply(ask.number(), parts);
                    borrower.send();
                }
            });
        }
    }
}
