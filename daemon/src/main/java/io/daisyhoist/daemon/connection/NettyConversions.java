package io.daisyhoist.daemon.connection;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.daisyhoist.core.model.Endpoint;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/** Converts Netty types to JDK and core types. Stateless. */
final class NettyConversions {
    private NettyConversions() {}

    static CompletionStage<Channel> toStage(ChannelFuture future) {
        CompletableFuture<Channel> stage = new CompletableFuture<>();
        future.addListener(done -> {
            if (done.isSuccess()) {
                stage.complete(future.channel());
            } else {
                stage.completeExceptionally(done.cause());
            }
        });
        return stage;
    }

    static Endpoint localEndpoint(Channel channel) {
        InetSocketAddress address = (InetSocketAddress) channel.localAddress();
        return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
    }
}
