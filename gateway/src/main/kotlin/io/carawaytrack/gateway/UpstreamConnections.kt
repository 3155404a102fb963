/*
 * Connections to upstreams: opening, reuse and expiry. A connection is reused only after a response that ended as
 * declared by its framing, and not for a request to which a response on it might be repeated.
 */
package io.carawaytrack.gateway

import io.carawaytrack.model.HostPort
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpRequestEncoder

/** Timeout for opening a connection to an upstream: some hundred round trips. */
private const val CONNECT_TIMEOUT_MILLIS = 350

/** Maximum idle time of a connection that is reused for a request that cannot be retried. */
private const val NON_RETRYABLE_MAX_IDLE_MILLIS = 250L

/** Maximum number of idle connections to one upstream, whose connection limit is shared by the hosts. */
private const val MAX_IDLE_CONNECTIONS = 12

internal class UpstreamConnections(
    private val group: EventLoopGroup,
    private val nowMillis: () -> Long,
) {
    private val idle = HashMap<HostPort, ArrayDeque<UpstreamConnection>>()
    private val owner = UpstreamConnectionOwner(nowMillis, ::addIdle) { idle[it.address]?.remove(it) }
    val healthChecks = HealthChecks(group)

    /**
     * Sends [attempt] to [address] on an idle connection if there is one. A [nonRetryable] attempt only uses one that
     * has been idle for a short time, because the upstream might close it concurrently.
     */
    fun send(
        address: HostPort,
        attempt: Attempt,
        nonRetryable: Boolean,
    ) {
        val maxIdleMillis = if (nonRetryable) NON_RETRYABLE_MAX_IDLE_MILLIS else Long.MAX_VALUE
        val pooled = takeIdle(address, attempt, maxIdleMillis)
        if (pooled != null) pooled.start(attempt) else connect(address, attempt)
    }

    /** Closes idle connections whose keep-alive time has expired. */
    fun prune() {
        idle.values.forEach { connections ->
            connections.filter { !it.isUsable(nowMillis()) }.forEach { it.channel.close() }
            connections.removeIf { !it.isUsable(nowMillis()) }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    /** Closes the idle connections to [address], whose upstream has departed. */
    fun closeIdle(address: HostPort) {
        idle.remove(address)?.forEach { it.channel.close() }
    }

    /** Reports to [done] whether [address] accepts a connection. */
    fun checkListening(
        address: HostPort,
        done: (Boolean) -> Unit,
    ) {
        bootstrap(ChannelInboundHandlerAdapter())
            .connect(address.host, address.port)
            .addListener(
                ChannelFutureListener { future ->
                    future.channel().close()
                    done(future.isSuccess)
                },
            )
    }

    private fun bootstrap(handler: ChannelHandler) = Bootstrap()
        .group(group)
        .channel(UpstreamSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(handler)

    /**
     * Returns the connection to [address] that was used last, unless it has already carried an attempt of the same
     * request: a response to that one might be repeated and would be taken for the response to this [attempt].
     */
    private fun takeIdle(
        address: HostPort,
        attempt: Attempt,
        maxIdleMillis: Long,
    ): UpstreamConnection? {
        // Only the identifier shows that a response on a used connection belongs to the request.
        val connections = idle[address]?.takeIf { attempt.requestId.isNotEmpty() } ?: return null
        val now = nowMillis()
        val (usable, expired) = connections.partition { it.isUsable(now) && now - it.idleSinceMillis <= maxIdleMillis }
        connections.removeAll(expired)
        expired.forEach { it.channel.close() }
        return usable.lastOrNull { !it.hasFailedFor(attempt) }?.also { connections.remove(it) }
    }

    private fun connect(
        address: HostPort,
        attempt: Attempt,
    ) {
        val connection = UpstreamConnection(address, owner)
        val startedAtMillis = nowMillis()
        bootstrap(initializer(connection))
            .connect(address.host, address.port)
            .addListener { future ->
                if (future.isSuccess) {
                    connection.roundTripMillis = nowMillis() - startedAtMillis
                    connection.start(attempt)
                } else {
                    connectFailed(attempt)
                }
            }
    }

    private fun connectFailed(attempt: Attempt) {
        attempt.request.release()
        if (attempt.ended) return
        attempt.end()
        attempt.listener.onFailed(AttemptEnd.NotConnected)
    }

    private fun initializer(connection: UpstreamConnection) = object : ChannelInitializer<UpstreamSocketChannel>() {
        override fun initChannel(channel: UpstreamSocketChannel) {
            connection.channel = channel
            channel.pipeline().addLast(
                connection.decoder,
                HttpRequestEncoder(),
                connection,
            )
        }
    }

    private fun addIdle(connection: UpstreamConnection) {
        val connections = idle.getOrPut(connection.address) { ArrayDeque() }
        if (connections.size >= MAX_IDLE_CONNECTIONS) connection.channel.close() else connections.addLast(connection)
    }
}
