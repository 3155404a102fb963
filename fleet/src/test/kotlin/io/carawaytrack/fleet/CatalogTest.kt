/*
 * Matching of requests against the routes table.
 */
package io.carawaytrack.fleet

import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CatalogTest {
    private fun route(
        name: String,
        prefix: String,
        public: Boolean = false,
    ) = CatalogRoute(
        name = name,
        host = "shop.example",
        pathPrefix = prefix,
        idempotent = true,
        streaming = false,
        resumable = false,
        timeoutMillis = 1_000,
        latencyTargetMillis = 100,
        pauseTargetMillis = 100,
        priority = 0,
        models = emptyList(),
        shares = listOf(PoolShare(PoolName("pool"), 1)),
        maxAttempts = 1,
        public = public,
        sticky = false,
    )

    private val catalog =
        Catalog(
            version = 1,
            routes = listOf(route("outer", "/a/"), route("inner", "/a/b/"), route("open", "/open/", public = true)),
            pools = emptyMap(),
            organisations = listOf(CatalogOrganisation(OrganisationName("stalls"), setOf("k1"), priority = null)),
            keysRequired = true,
            limits = CallerLimits(),
        )

    @ParameterizedTest(name = "{0} {1} with key {2} matches {3}")
    @CsvSource(
        "shop.example, /a/x, k1, outer",
        "shop.example, /a/, k1, outer",
        "shop.example, /a/b/x, k1, inner",
        "shop.example, /a/bx, k1, outer",
        "shop.example, /a, k1, no route",
        "shop.example, /b/x, k1, no route",
        "else.example, /a/x, k1, no route",
        "shop.example, /a/x, k2, unknown key",
        "shop.example, /a/x, , unknown key",
        "shop.example, /open/x, , open",
    )
    fun `a request matches the route with the longest prefix`(
        host: String,
        path: String,
        key: String?,
        expected: String,
    ) {
        val found =
            when (val match = catalog.match(host, path, key)) {
                RouteMatch.NoRoute -> "no route"
                RouteMatch.UnknownKey -> "unknown key"
                is RouteMatch.Found -> match.route.name
            }
        expectThat(found).isEqualTo(expected)
    }
}
