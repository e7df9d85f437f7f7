package io.daisyhoist.daemon.connection;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.daisyhoist.wire.proto.Envelope;

/**
 * Message to a peer and its pending result.
 *
 * <p>The sent flag is confined to the connection's event loop; the result may be completed by any thread.
 */
final class PeerCall {
    private final Envelope message;
    private final Duration timeout;
    private final SilencePolicy silencePolicy;
    private final Optional<BodyCreditListener> creditListener;
    private final CompletableFuture<Envelope> result = new CompletableFuture<>();
    private boolean sent;

    PeerCall(
            long requestId,
            Envelope message,
            Duration timeout,
            SilencePolicy silencePolicy,
            Optional<BodyCreditListener> creditListener) {
        this.message = message.toBuilder().setRequestId(requestId).build();
        this.timeout = timeout;
        this.silencePolicy = silencePolicy;
        this.creditListener = creditListener;
    }

    static PeerCall oneWay(Envelope message, Duration timeout) {
        return new PeerCall(0, message, timeout, SilencePolicy.FAIL, Optional.empty());
    }

    long requestId() {
        return message.getRequestId();
    }

    Envelope message() {
        return message;
    }

    Duration timeout() {
        return timeout;
    }

    SilencePolicy silencePolicy() {
        return silencePolicy;
    }

    Optional<BodyCreditListener> creditListener() {
        return creditListener;
    }

    CompletableFuture<Envelope> result() {
        return result;
    }

    boolean expectsReply() {
        return requestId() != 0;
    }

    boolean isSent() {
        return sent;
    }

    void markSent() {
        sent = true;
    }

    /** Fails the call with a certainty that depends on whether the message was already written. */
    void fail(PeerException.Reason reason, String text) {
        fail(reason, sent ? DeliveryCertainty.MAY_HAVE_BEEN_SENT : DeliveryCertainty.NOT_SENT, text);
    }

    void fail(PeerException.Reason reason, DeliveryCertainty certainty, String text) {
        result.completeExceptionally(new PeerException(reason, certainty, text));
    }
}
