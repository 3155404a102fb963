/*
 * Resolves the organisation and the routes of a request from the tables in force. The index is built once per
 * configuration, so that a request needs only two lookups.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Failure
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.notRun
import java.security.MessageDigest
import java.util.concurrent.atomic.AtomicReference

private const val BEARER_PREFIX = "Bearer "
private const val WILDCARD = "*"

internal class RouteTable(
    private val configuration: Configuration,
) {
    private val organisationByDigest =
        configuration.tables.organisations
            .flatMap { organisation -> organisation.keySha256.map { it.lowercase() to organisation } }
            .toMap()

    private val routes = configuration.tables.routes.sortedByDescending { it.pathPrefix.length }

    val number: Long get() = configuration.number

    /**
     * Returns the organisation that owns a bearer key. Only digests are compared, so that response times reveal nothing
     * about the keys.
     */
    fun organisation(authorization: String?): Result<Organisation, Failure> {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) return Err(ErrorKind.MissingKey.notRun())
        val key = authorization.removePrefix(BEARER_PREFIX).trim()
        val digest = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
        val organisation = organisationByDigest[digest.toHexString()] ?: return Err(ErrorKind.UnknownKey.notRun())
        return Ok(organisation)
    }

    /** Returns the routes that match [method] and [path] for [organisation], longest path prefix first. */
    fun routes(
        organisation: Organisation,
        method: String,
        path: String,
    ): Result<List<Route>, Failure> {
        val matching = routes.filter { it.matches(organisation, method, path) }
        if (matching.isEmpty()) return Err(ErrorKind.UnknownRoute.notRun("no route matches $method $path"))
        return Ok(matching)
    }

    /** Returns the first of [candidates] that serves [model]. */
    fun modelRoute(
        candidates: List<Route>,
        model: String,
    ): Result<Route, Failure> {
        val route = candidates.find { it.kind == ServiceKind.Model && it.model == model }
        if (route == null) return Err(ErrorKind.UnknownModel.notRun("no route serves the model $model"))
        return Ok(route)
    }

    private fun Route.matches(
        organisation: Organisation,
        method: String,
        path: String,
    ): Boolean {
        val organisationAllowed = WILDCARD in organisations || organisation.name.value in organisations
        return organisationAllowed && (WILDCARD in methods || method in methods) && path.startsWith(pathPrefix)
    }
}

/** Caches the [RouteTable] of the configuration in force. */
internal class RouteTableCache(
    private val configuration: () -> Configuration,
) {
    private val cached = AtomicReference(RouteTable(Configuration()))

    fun current(): RouteTable {
        val inForce = configuration()
        val table = cached.get()
        if (table.number == inForce.number) return table
        return RouteTable(inForce).also(cached::set)
    }
}
