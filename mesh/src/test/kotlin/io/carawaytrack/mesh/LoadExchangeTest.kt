/*
 * Messages and staleness of the exchange of load reports in fleets of 3 to 341 hosts, six of which have a disk.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.UpstreamLoad
import io.carawaytrack.model.UpstreamId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

private const val CORES = 6
private const val UPSTREAMS = 42
private const val TICK_MILLIS = 200L

class LoadExchangeTest {
    private var nowMillis = 0L

    /** A host whose messages are delivered to its peers at once. */
    private inner class Host(
        val core: Boolean,
    ) {
        val loads = HashMap<UpstreamId, UpstreamLoad>()
        var received = 0
        val exchange =
            MergingLoadExchange(
                core = core,
                sendToPeers = { message -> hosts.filter { it !== this }.forEach { it.receive(message) } },
                sendToCore = { message -> hosts.first { it.core }.receive(message) },
                loadReported = { loads[it.id] = it },
                nowMillis = { nowMillis },
            )

        private fun receive(message: MeshMessage.Loads) {
            received++
            exchange.receive(message)
        }
    }

    private val hosts = ArrayList<Host>()

    private fun fleetOf(count: Int) {
        hosts.clear()
        repeat(count) { hosts += Host(core = it < CORES) }
    }

    private fun load(
        upstream: Int,
        running: Int = 1,
        ageMillis: Long = 0,
    ) = UpstreamLoad(UpstreamId("u$upstream"), running, waiting = 0, ageMillis)

    @TestFactory
    fun `each host learns of a report within three intervals`(): List<DynamicTest> =
        listOf(3, 9, 35, 341).map { count ->
            dynamicTest("$count hosts") {
                fleetOf(count)
                hosts.last().exchange.report(listOf(load(7, running = 5)))
                repeat(6) {
                    nowMillis += TICK_MILLIS
                    hosts.forEach { it.exchange.tick() }
                }
                val missing = hosts.dropLast(1).filter { it.loads[UpstreamId("u7")]?.running != 5 }
                expectThat(missing).hasSize(0)
            }
        }

    @TestFactory
    fun `a host without a disk receives the same number of messages in any fleet`(): List<DynamicTest> =
        listOf(9, 35, 341).map { count ->
            dynamicTest("$count hosts") {
                fleetOf(count)
                repeat(10) {
                    nowMillis += TICK_MILLIS
                    hosts.forEach { host -> host.exchange.report(List(UPSTREAMS) { load(it) }) }
                    hosts.forEach { it.exchange.tick() }
                }
                // Two seconds: five intervals, one message from each host with a disk.
                expectThat(hosts.last().received).isLessThanOrEqualTo(5 * CORES)
            }
        }

    @Test
    fun `the newest report of an upstream is passed on, with its age`() {
        fleetOf(9)
        nowMillis = 1_000
        hosts[7].exchange.report(listOf(load(1, running = 3, ageMillis = 50)))
        hosts[8].exchange.report(listOf(load(1, running = 9, ageMillis = 300)))
        hosts[7].exchange.tick()
        hosts[8].exchange.tick()
        nowMillis += 100
        hosts[0].exchange.tick()
        expectThat(hosts[5].loads[UpstreamId("u1")]).isEqualTo(load(1, running = 3, ageMillis = 150))
    }
}
