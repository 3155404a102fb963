/*
 * A stand-in for the plain services beside the engines: a stock ledger and payments. A reservation and a payment are
 * not idempotent, so each call that gets through counts.
 */
package io.carawaytrack.standins

import com.github.michaelbull.result.mapBoth
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.Serializable
import java.util.UUID
import java.util.concurrent.atomic.AtomicReference

/**
 * Sets up a service stand-in.
 *
 * @property stock pieces of every item at the start
 */
public data class ServiceSettings(
    val port: Int = 0,
    val stock: Int = 100,
    val delayMillis: Long = 0,
    val faults: ServiceFaults = ServiceFaults(),
)

/** Tells at which step a call of the service fails. */
@Serializable
public enum class FailurePoint {
    /** Answers 503 and does nothing. */
    BeforeRunning,

    /** Does what was asked, then closes the connection without an answer. */
    AfterRunning,
}

/**
 * Lists the faults of a service stand-in; `POST /faults` replaces all of them.
 *
 * @property failures number of calls that fail before the fault clears itself; null for all of them
 */
@Serializable
public data class ServiceFaults(
    val delayMillis: Long = 0,
    val failurePoint: FailurePoint? = null,
    val failures: Int? = null,
)

/** Reserves pieces of an item. */
@Serializable
public data class ReservationRequest(
    val item: String,
    val quantity: Int,
)

/** Confirms a reservation. */
@Serializable
public data class Reservation(
    val reservation: Long,
    val item: String,
    val quantity: Int,
    val left: Int,
)

/** Shows the stock of an item. */
@Serializable
public data class StockItem(
    val item: String,
    val left: Int,
)

/** Pays for an order. */
@Serializable
public data class PaymentRequest(
    val order: String,
    val amountCents: Long,
)

/** Confirms a payment. */
@Serializable
public data class Payment(
    val payment: Long,
    val order: String,
    val amountCents: Long,
)

@Serializable
private data class ServiceHealth(
    val status: String,
)

/** Runs in the process of its creator; closing it cuts every connection. */
public interface ServiceStandIn : AutoCloseable {
    /** Port on 127.0.0.1. */
    public val port: Int

    /** Counts of what has run. */
    public val counters: CounterReport

    /** Replaces the faults. */
    public fun replaceFaults(faults: ServiceFaults)
}

/** Starts a service stand-in. */
public fun ServiceStandIn(
    settings: ServiceSettings = ServiceSettings(),
    timing: Timing = Timing(),
): ServiceStandIn = HttpServiceStandIn(settings, timing)

private class HttpServiceStandIn(
    private val settings: ServiceSettings,
    private val timing: Timing,
) : ServiceStandIn {
    private val counts = Counters()
    private val faults = AtomicReference(settings.faults)
    private val lock = Any()
    private val left = HashMap<String, Int>()
    private var lastNumber = 0L
    private val server = LoopbackServer(settings.port) { routes() }

    override val port: Int get() = server.port
    override val counters: CounterReport get() = counts.report()

    override fun replaceFaults(faults: ServiceFaults): Unit = this.faults.set(faults)

    override fun close(): Unit = server.close()

    private fun Routing.routes() {
        post("/stock/reservations") { call.execute(RESERVE) { request: ReservationRequest -> reserve(request) } }
        get("/stock/items/{id}") { call.respondJson(item(call.parameters["id"].orEmpty())) }
        post("/payments") { call.execute(PAY) { request: PaymentRequest -> pay(request) } }
        get("/health") { call.respondJson(ServiceHealth("ok")) }
        get("/counters") { call.respondJson(counters) }
        get("/faults") { call.respondJson(faults.get()) }
        post("/faults") { call.faults() }
    }

    private suspend fun RoutingCall.faults() {
        receiveJson<ServiceFaults>().mapBoth(
            success = {
                replaceFaults(it)
                respondJson(it)
            },
            failure = { respondJson(ErrorReply(it), HttpStatusCode.BadRequest) },
        )
    }

    private suspend inline fun <reified I, reified O : Any> RoutingCall.execute(
        operation: String,
        crossinline run: (I) -> O?,
    ) {
        receiveJson<I>().mapBoth(
            success = { input -> execute(operation) { run(input)?.let { standInJson.encodeToString(it) } } },
            failure = { respondJson(ErrorReply(it), HttpStatusCode.BadRequest) },
        )
    }

    /** Runs the operation between the faults that come before and after it. */
    private suspend fun RoutingCall.execute(
        operation: String,
        run: () -> String?,
    ) {
        val requestId = request.headers[REQUEST_ID_HEADER] ?: UUID.randomUUID().toString()
        val failurePoint = nextFailure()
        timing.delayMillis(settings.delayMillis + faults.get().delayMillis)
        if (failurePoint == FailurePoint.BeforeRunning) {
            counts.refused()
            return respondJson(ErrorReply("unavailable"), HttpStatusCode.ServiceUnavailable)
        }
        counts.step(requestId, operation, ExecutionStep.Started)
        val reply = synchronized(lock) { run() }
        counts.step(requestId, operation, if (reply == null) ExecutionStep.Failed else ExecutionStep.Completed)
        if (failurePoint == FailurePoint.AfterRunning) return abortConnection()
        response.header(REQUEST_ID_HEADER, requestId)
        if (reply == null) return respondJson(ErrorReply("out of stock"), HttpStatusCode.Conflict)
        respondText(reply, ContentType.Application.Json, HttpStatusCode.Created)
    }

    /** Takes one failure off those that are still to come. */
    private fun nextFailure(): FailurePoint? {
        val before =
            faults.getAndUpdate {
                val failures = it.failures ?: return@getAndUpdate it
                if (failures <= 1) it.copy(failurePoint = null, failures = null) else it.copy(failures = failures - 1)
            }
        return before.failurePoint
    }

    private fun item(id: String): StockItem = synchronized(lock) { StockItem(id, left[id] ?: settings.stock) }

    private fun reserve(request: ReservationRequest): Reservation? {
        val remaining = (left[request.item] ?: settings.stock) - request.quantity
        if (remaining < 0) return null
        left[request.item] = remaining
        lastNumber += 1
        return Reservation(lastNumber, request.item, request.quantity, remaining)
    }

    private fun pay(request: PaymentRequest): Payment {
        lastNumber += 1
        return Payment(lastNumber, request.order, request.amountCents)
    }

    private companion object {
        const val RESERVE = "reservation"
        const val PAY = "payment"
    }
}
