/*
 * A socket channel that shows whether its connection was reset after the end of its input. A read does not show that:
 * it reports the end of the input, which arrived first. A write would, but there may be nothing left to write.
 */
package io.carawaytrack.gateway

import io.netty.channel.socket.nio.NioSocketChannel
import java.io.IOException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector

internal class UpstreamSocketChannel : NioSocketChannel() {
    /** Returns whether the connection was reset or is closed; that only its input has ended is no failure. */
    fun hasFailed(): Boolean = !isOpen || hasError()

    private fun hasError(): Boolean = try {
        Selector.open().use { selector ->
            // An error or a hang-up makes every operation ready; nothing else does this one on a connected channel.
            javaChannel().register(selector, SelectionKey.OP_CONNECT)
            selector.selectNow() > 0
        }
    } catch (_: IOException) {
        // Without a selector nothing shows that the connection is sound.
        true
    }
}
