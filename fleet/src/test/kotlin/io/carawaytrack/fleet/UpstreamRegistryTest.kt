/*
 * Announcements that arrive late, twice, out of order, or from an earlier holder of an address.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.HostPort
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.ZoneName
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class UpstreamRegistryTest {
    private var nowMillis = 1_000_000L
    private val registry = UpstreamRegistry { nowMillis }

    private fun upstream(
        id: String,
        port: Int = 80,
        startedAtMillis: Long = 10,
        sequence: Long = 1,
        draining: Boolean = false,
        coldMillis: Long = 0,
    ) = FleetUpstream(
        id = UpstreamId(id),
        pool = PoolName("pool"),
        address = HostPort("10.0.0.1", port),
        zone = ZoneName("a"),
        version = "v1",
        slots = 4,
        draining = draining,
        coldMillis = coldMillis,
        sequence = sequence,
        startedAtMillis = startedAtMillis,
    )

    private class Case(
        val name: String,
        val announced: FleetUpstream,
        val news: RegistryUpdate,
    )

    @TestFactory
    fun `an announcement counts when it is newer than what is known`(): List<DynamicTest> = listOf(
        Case("a repeated one is no news", upstream("u", sequence = 5), RegistryUpdate.Ignored),
        Case("an older one is no news", upstream("u", sequence = 4), RegistryUpdate.Ignored),
        Case("a newer one that says the same refreshes", upstream("u", sequence = 6), RegistryUpdate.Refreshed),
        Case(
            "a newer one that is draining changes",
            upstream("u", sequence = 6, draining = true),
            RegistryUpdate.Changed,
        ),
        Case("one that has become cold changes", upstream("u", sequence = 6, coldMillis = 9), RegistryUpdate.Changed),
        Case("a later start changes", upstream("u", startedAtMillis = 11, sequence = 1), RegistryUpdate.Changed),
        Case("an earlier start is no news", upstream("u", startedAtMillis = 9, sequence = 99), RegistryUpdate.Ignored),
        Case(
            "an earlier holder is no news",
            upstream("old", startedAtMillis = 9, sequence = 9),
            RegistryUpdate.Ignored,
        ),
        Case("a later holder changes", upstream("new", startedAtMillis = 12), RegistryUpdate.Changed),
    ).map { case ->
        dynamicTest(case.name) {
            val fresh = UpstreamRegistry { nowMillis }
            fresh.record(upstream("u", sequence = 5))
            expectThat(fresh.record(case.announced)).isEqualTo(case.news)
        }
    }

    @Test
    fun `a later holder of an address replaces the earlier one`() {
        registry.record(upstream("old"))
        registry.record(upstream("new", startedAtMillis = 20))
        expectThat(registry.upstreams.map { it.upstream.id.value }).containsExactly("new")
    }

    @Test
    fun `an upstream that has signed off isn't revived by a late announcement`() {
        registry.record(upstream("u", sequence = 5))
        expectThat(registry.deregister(Deregistration(UpstreamId("u"), null))).isTrue()
        expectThat(registry.record(upstream("u", sequence = 6))).isEqualTo(RegistryUpdate.Ignored)
        expectThat(registry.upstreams).isEmpty()
        expectThat(registry.record(upstream("u", startedAtMillis = 11))).isEqualTo(RegistryUpdate.Changed)
    }

    @Test
    fun `a departure of an earlier start leaves the present one`() {
        registry.record(upstream("u", startedAtMillis = 20))
        registry.deregister(Deregistration(UpstreamId("u"), 10))
        expectThat(registry.upstreams.map { it.upstream.startedAtMillis }).containsExactly(20L)
        expectThat(registry.deregister(Deregistration(UpstreamId("u"), 10))).isFalse()
    }

    @Test
    fun `an upstream that has been silent for long is forgotten`() {
        registry.record(upstream("u"))
        nowMillis += UPSTREAM_EXPIRY_MILLIS + 1
        expectThat(registry.evictExpired().map { it.upstream.id.value }).containsExactly("u")
        expectThat(registry.upstreams).isEmpty()
    }

    @Test
    fun `an announcement that was passed on counts from when it was made`() {
        registry.record(upstream("u", coldMillis = 3_000), ageMillis = 1_000)
        expectThat(registry.upstreams.single().coldUntilMillis).isEqualTo(nowMillis + 2_000)
    }
}
