/*
 * Finds the organisation and the route of a request in the tables in force. An index is made once for each
 * configuration, so that a request costs two look-ups.
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

private const val BEARER = "Bearer "
private const val ANY = "*"

internal class RouteTable(
    private val configuration: Configuration,
) {
    private val organisationByDigest =
        configuration.tables.organisations
            .flatMap { organisation -> organisation.keySha256.map { it.lowercase() to organisation } }
            .toMap()

    private val routes = configuration.tables.routes.sortedByDescending { it.pathPrefix.length }

    val number: Long get() = configuration.number

    /** Finds the organisation of a bearer key; only digests are compared, so that timing tells nothing about a key. */
    fun organisation(authorization: String?): Result<Organisation, Failure> {
        if (authorization == null || !authorization.startsWith(BEARER)) return Err(ErrorKind.MissingKey.notRun())
        val key = authorization.removePrefix(BEARER).trim()
        val digest = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
        val organisation = organisationByDigest[digest.toHexString()] ?: return Err(ErrorKind.UnknownKey.notRun())
        return Ok(organisation)
    }

    /** Lists the routes that take [method] and [path] for [organisation], the longest prefix first. */
    fun routes(
        organisation: Organisation,
        method: String,
        path: String,
    ): Result<List<Route>, Failure> {
        val found = routes.filter { it.takes(organisation, method, path) }
        if (found.isEmpty()) return Err(ErrorKind.UnknownRoute.notRun("no route takes $method $path"))
        return Ok(found)
    }

    /** Picks the route of a chat request by its model. */
    fun modelRoute(
        candidates: List<Route>,
        model: String,
    ): Result<Route, Failure> {
        val route = candidates.find { it.kind == ServiceKind.Model && it.model == model }
        if (route == null) return Err(ErrorKind.UnknownModel.notRun("no route serves the model $model"))
        return Ok(route)
    }

    private fun Route.takes(
        organisation: Organisation,
        method: String,
        path: String,
    ): Boolean {
        val open = ANY in organisations || organisation.name.value in organisations
        return open && (ANY in methods || method in methods) && path.startsWith(pathPrefix)
    }
}

/** Keeps the index of the configuration in force. */
internal class RouteTables(
    private val configuration: () -> Configuration,
) {
    private val cached = AtomicReference(RouteTable(Configuration()))

    fun current(): RouteTable {
        val inForce = configuration()
        val held = cached.get()
        if (held.number == inForce.number) return held
        return RouteTable(inForce).also(cached::set)
    }
}
