/*
 * Announcements that are delayed, duplicated or reordered, or come from an earlier owner of an address.
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
        val expected: RegistryUpdate,
    )

    @TestFactory
    fun `an announcement is recorded if it is newer than the known one`(): List<DynamicTest> = listOf(
        Case("a duplicate is ignored", upstream("u", sequence = 5), RegistryUpdate.Ignored),
        Case("an older one is ignored", upstream("u", sequence = 4), RegistryUpdate.Ignored),
        Case("a newer one with the same content refreshes", upstream("u", sequence = 6), RegistryUpdate.Refreshed),
        Case(
            "a newer one that is draining changes",
            upstream("u", sequence = 6, draining = true),
            RegistryUpdate.Changed,
        ),
        Case("one that has become cold changes", upstream("u", sequence = 6, coldMillis = 9), RegistryUpdate.Changed),
        Case("a later start changes", upstream("u", startedAtMillis = 11, sequence = 1), RegistryUpdate.Changed),
        Case("an earlier start is ignored", upstream("u", startedAtMillis = 9, sequence = 99), RegistryUpdate.Ignored),
        Case(
            "an earlier owner of the address is ignored",
            upstream("old", startedAtMillis = 9, sequence = 9),
            RegistryUpdate.Ignored,
        ),
        Case("a later owner of the address changes", upstream("new", startedAtMillis = 12), RegistryUpdate.Changed),
    ).map { case ->
        dynamicTest(case.name) {
            val fresh = UpstreamRegistry { nowMillis }
            fresh.record(upstream("u", sequence = 5))
            expectThat(fresh.record(case.announced)).isEqualTo(case.expected)
        }
    }

    @Test
    fun `a later owner of an address replaces the earlier one`() {
        registry.record(upstream("old"))
        registry.record(upstream("new", startedAtMillis = 20))
        expectThat(registry.upstreams.map { it.upstream.id.value }).containsExactly("new")
    }

    @Test
    fun `a delayed announcement does not register a deregistered upstream again`() {
        registry.record(upstream("u", sequence = 5))
        expectThat(registry.deregister(Deregistration(UpstreamId("u"), null))).isTrue()
        expectThat(registry.record(upstream("u", sequence = 6))).isEqualTo(RegistryUpdate.Ignored)
        expectThat(registry.upstreams).isEmpty()
        expectThat(registry.record(upstream("u", startedAtMillis = 11))).isEqualTo(RegistryUpdate.Changed)
    }

    @Test
    fun `deregistering an earlier start keeps the current one`() {
        registry.record(upstream("u", startedAtMillis = 20))
        registry.deregister(Deregistration(UpstreamId("u"), 10))
        expectThat(registry.upstreams.map { it.upstream.startedAtMillis }).containsExactly(20L)
        expectThat(registry.deregister(Deregistration(UpstreamId("u"), 10))).isFalse()
    }

    // Guards against requests to an upstream that deregistered at a host which had not heard of it.
    @Test
    fun `a deregistration without a start applies to an announcement that was made before it`() {
        expectThat(registry.deregister(Deregistration(UpstreamId("u"), null))).isTrue()
        nowMillis += 1_000
        expectThat(registry.record(upstream("u"), ageMillis = 1_500)).isEqualTo(RegistryUpdate.Ignored)
        expectThat(registry.record(upstream("u", sequence = 2))).isEqualTo(RegistryUpdate.Ignored)
        expectThat(registry.deregistrations).containsExactly(Deregistration(UpstreamId("u"), 10))
        expectThat(registry.record(upstream("u", startedAtMillis = 11))).isEqualTo(RegistryUpdate.Changed)
    }

    @Test
    fun `a deregistration without a start does not apply to a start that is announced later`() {
        registry.deregister(Deregistration(UpstreamId("u"), null))
        nowMillis += 1_000
        expectThat(registry.record(upstream("u"), ageMillis = 500)).isEqualTo(RegistryUpdate.Changed)
    }

    @Test
    fun `an upstream without announcements expires`() {
        registry.record(upstream("u"))
        nowMillis += UPSTREAM_EXPIRY_MILLIS + 1
        expectThat(registry.evictExpired().map { it.upstream.id.value }).containsExactly("u")
        expectThat(registry.upstreams).isEmpty()
    }

    @Test
    fun `the age of a relayed announcement is taken into account`() {
        registry.record(upstream("u", coldMillis = 3_000), ageMillis = 1_000)
        expectThat(registry.upstreams.single().coldUntilMillis).isEqualTo(nowMillis + 2_000)
    }
}
