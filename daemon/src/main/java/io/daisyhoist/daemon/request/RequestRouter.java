package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.retry.RetryPolicy;
import io.daisyhoist.core.routing.RoutingView;
import io.daisyhoist.core.time.Deadline;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;

/**
 * Edge's side of the request path: finds who may run a request, sends it there and retries what is safe to retry.
 *
 * <p>Invariants: a non-repeatable request is sent again only when it certainly did not run; all sends of one request lie
 * within its deadline. Its state is confined to the traffic event loop; its methods may be called from any thread.
 */
public final class RequestRouter implements RequestHandler {
    private final TrafficContext traffic;
    private final OwnerService local;
    private final OwnerClient remote;
    private final KeylessTargets keyless;
    private final Hedging hedging;
    private final Map<ServiceName, RetryPolicy> retries = new HashMap<>();

    RequestRouter(
            TrafficContext traffic, OwnerService local, OwnerClient remote, KeylessTargets keyless, Hedging hedging) {
        this.traffic = traffic;
        this.local = local;
        this.remote = remote;
        this.keyless = keyless;
        this.hedging = hedging;
    }

    /** One way of sending a request. */
    private interface Send {
        Future<OutboundResponse> run();
    }

    @Override
    public Future<OutboundResponse> handle(InboundRequest request, Future<Void> cancelled) {
        return onTraffic(() -> route(request, cancelled));
    }

    @Override
    public Future<OutboundResponse> issueToken(ServiceName service, Optional<String> key, Deadline deadline) {
        InboundRequest request = new InboundRequest(
                service,
                key,
                "POST",
                "/s/" + service + "/attempt-token",
                List.of(),
                Buffer.buffer(),
                Rank.NORMAL,
                deadline,
                Optional.empty(),
                Optional.empty());
        Future<Void> never = Promise.<Void>promise().future();
        return onTraffic(() -> {
            Optional<PartitionId> partition = partitionOf(request);
            if (partition.isEmpty()) {
                return noPartition(request);
            }
            return retrying(request, true, never, () -> sendToOwner(request, partition.get(), true, never));
        });
    }

    private Future<OutboundResponse> onTraffic(Send send) {
        Promise<OutboundResponse> answer = Promise.promise();
        traffic.execute(() -> send.run().onComplete(answer));
        return answer.future();
    }

    private Future<OutboundResponse> route(InboundRequest request, Future<Void> cancelled) {
        Optional<ServiceSettings> settings = traffic.routing().get().config().service(request.service());
        if (settings.isEmpty()) {
            return noPartition(request);
        }
        boolean repeatable = settings.get().isRepeatable(request.method());
        if (repeatable && request.key().isEmpty()) {
            Set<DaemonId> tried = new HashSet<>();
            return retrying(
                    request,
                    true,
                    cancelled,
                    () -> hedging.run(request.service(), cancelled, over -> sendToAny(request, tried, over)));
        }
        Optional<PartitionId> partition = partitionOf(request);
        if (partition.isEmpty()) {
            return noPartition(request);
        }
        if (!repeatable && isTokenOfAnotherKey(request, partition.get())) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.BAD_REQUEST, "the attempt token belongs to another key"));
        }
        return retrying(request, repeatable, cancelled, () -> sendToOwner(request, partition.get(), false, cancelled));
    }

    private boolean isTokenOfAnotherKey(InboundRequest request, PartitionId partition) {
        return request.attemptToken()
                .filter(token -> !token.partition().equals(partition))
                .isPresent();
    }

    /** Returns the partition of the key, else that of the token, else any one of the service. */
    private Optional<PartitionId> partitionOf(InboundRequest request) {
        RoutingView view = traffic.routing().get();
        if (request.key().isPresent()) {
            return view.partitionOf(request.service(), request.key().get());
        }
        int partitions = view.config()
                .service(request.service())
                .map(ServiceSettings::partitions)
                .orElse(0);
        if (request.attemptToken().isPresent()) {
            return request.attemptToken()
                    .map(token -> token.partition())
                    .filter(partition -> partition.index() < partitions);
        }
        return partitions < 1
                ? Optional.empty()
                : Optional.of(
                        new PartitionId(request.service(), traffic.random().nextInt(partitions)));
    }

    private static Future<OutboundResponse> noPartition(InboundRequest request) {
        return Future.succeededFuture(Refusals.notRun(
                RefusalCode.UNKNOWN_SERVICE, "no such service, or it has no partitions: " + request.service()));
    }

    private Future<OutboundResponse> sendToOwner(
            InboundRequest request, PartitionId partition, boolean tokenOnly, Future<Void> cancelled) {
        RoutingView view = traffic.routing().get();
        if (!view.hasQuorumSize()) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.NO_QUORUM, "the group has too few members for exclusive ownership"));
        }
        Optional<Member> owner = view.owner(partition);
        if (owner.isEmpty()) {
            return Future.succeededFuture(Refusals.notRun(RefusalCode.NO_OWNER, "no owner is known for " + partition));
        }
        if (!isSelf(owner.get())) {
            return remote.forward(owner.get(), request, Optional.of(partition), tokenOnly, cancelled);
        }
        return tokenOnly ? local.issueToken(request, partition) : local.serve(request, partition, cancelled);
    }

    private Future<OutboundResponse> sendToAny(InboundRequest request, Set<DaemonId> tried, Future<Void> over) {
        Optional<Member> chosen = keyless.choose(traffic.routing().get(), request.service(), tried);
        if (chosen.isEmpty()) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.NO_OWNER, "no backend server of " + request.service() + " is active"));
        }
        DaemonId daemon = chosen.get().session().daemon();
        tried.add(daemon);
        keyless.begin(daemon);
        Future<OutboundResponse> answer = isSelf(chosen.get())
                ? local.serveKeyless(request, over)
                : remote.forward(chosen.get(), request, Optional.empty(), false, over);
        return answer.onComplete(done -> keyless.end(daemon));
    }

    private boolean isSelf(Member member) {
        return member.session().process().equals(traffic.self());
    }

    private Future<OutboundResponse> retrying(
            InboundRequest request, boolean repeatable, Future<Void> cancelled, Send send) {
        RetryPolicy policy = retries.computeIfAbsent(
                request.service(), any -> RetryPolicy.standard(traffic.time(), traffic.random()));
        policy.onRequest();
        Attempts attempts = new Attempts(request, repeatable, cancelled, send, policy);
        attempts.next(0);
        return attempts.answer.future();
    }

    /** The sends of one request, one after another. */
    private final class Attempts {
        private final InboundRequest request;
        private final boolean repeatable;
        private final Future<Void> cancelled;
        private final Send send;
        private final RetryPolicy policy;
        private final Promise<OutboundResponse> answer = Promise.promise();
        private RunState earlier = RunState.NOT_RUN;

        Attempts(InboundRequest request, boolean repeatable, Future<Void> cancelled, Send send, RetryPolicy policy) {
            this.request = request;
            this.repeatable = repeatable;
            this.cancelled = cancelled;
            this.send = send;
            this.policy = policy;
        }

        void next(int retriesMade) {
            send.run().onSuccess(response -> {
                Optional<Duration> wait = response.refusal().flatMap(refusal -> waitBefore(refusal, retriesMade));
                if (wait.isEmpty()) {
                    answer.complete(response.afterEarlierCopies(earlier));
                    return;
                }
                earlier = response.run().afterEarlierCopies(earlier);
                traffic.metrics()
                        .onRetry(request.service(), response.refusal().get().code());
                traffic.after(wait.get().toMillis(), () -> next(retriesMade + 1));
            });
        }

        private Optional<Duration> waitBefore(Refusal refusal, int retriesMade) {
            if (cancelled.isComplete()) {
                return Optional.empty();
            }
            Duration remaining = request.deadline().remaining(traffic.time());
            return policy.nextRetry(refusal, repeatable, retriesMade, remaining);
        }
    }
}
