/*
 * A stand-in for upstream services other than inference engines: a stock ledger and payments. Reservations and payments
 * are not idempotent, so every call that is executed has an effect.
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
 * Settings of a service stand-in.
 *
 * @property stock initial quantity of every item
 */
public data class ServiceSettings(
    val port: Int = 0,
    val stock: Int = 100,
    val delayMillis: Long = 0,
    val faults: ServiceFaults = ServiceFaults(),
)

/** Point at which a call of the service fails. */
@Serializable
public enum class FailurePoint {
    /** Responds with status 503 without running the operation. */
    BeforeRunning,

    /** Runs the operation, then closes the connection without a response. */
    AfterRunning,
}

/**
 * Faults that a service stand-in injects; `POST /faults` replaces all of them.
 *
 * @property failures number of calls that fail before [failurePoint] is cleared; null for no limit
 */
@Serializable
public data class ServiceFaults(
    val delayMillis: Long = 0,
    val failurePoint: FailurePoint? = null,
    val failures: Int? = null,
)

/** Request to reserve a quantity of an item. */
@Serializable
public data class ReservationRequest(
    val item: String,
    val quantity: Int,
)

/** A confirmed reservation, with the quantity [left] in stock. */
@Serializable
public data class Reservation(
    val reservation: Long,
    val item: String,
    val quantity: Int,
    val left: Int,
)

/** Quantity of an item that is in stock. */
@Serializable
public data class StockItem(
    val item: String,
    val left: Int,
)

/** Request to pay for an order. */
@Serializable
public data class PaymentRequest(
    val order: String,
    val amountCents: Long,
)

/** A confirmed payment. */
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

/** A stand-in that runs in the process of its creator; closing it closes every connection. */
public interface ServiceStandIn : AutoCloseable {
    /** Port on 127.0.0.1. */
    public val port: Int

    /** Counters of the operations that were executed. */
    public val counters: CounterReport

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
    private val stockLeft = HashMap<String, Int>()
    private var lastId = 0L
    private val server = LoopbackServer(settings.port) { routes() }

    override val port: Int get() = server.port
    override val counters: CounterReport get() = counts.report()

    override fun replaceFaults(faults: ServiceFaults): Unit = this.faults.set(faults)

    override fun close(): Unit = server.close()

    private fun Routing.routes() {
        post("/stock/reservations") { call.execute(RESERVATION) { request: ReservationRequest -> reserve(request) } }
        get("/stock/items/{id}") { call.respondJson(item(call.parameters["id"].orEmpty())) }
        post("/payments") { call.execute(PAYMENT) { request: PaymentRequest -> pay(request) } }
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

    /** Runs the operation, with the fault that is injected before or after it. */
    private suspend fun RoutingCall.execute(
        operation: String,
        run: () -> String?,
    ) {
        val requestId = request.headers[REQUEST_ID_HEADER] ?: UUID.randomUUID().toString()
        val failurePoint = takeFailurePoint()
        timing.delayMillis(settings.delayMillis + faults.get().delayMillis)
        if (failurePoint == FailurePoint.BeforeRunning) {
            counts.countRefused()
            return respondJson(ErrorReply("unavailable"), HttpStatusCode.ServiceUnavailable)
        }
        counts.record(requestId, operation, ExecutionStep.Started)
        val reply = synchronized(lock) { run() }
        counts.record(requestId, operation, if (reply == null) ExecutionStep.Failed else ExecutionStep.Completed)
        if (failurePoint == FailurePoint.AfterRunning) return abortConnection()
        response.header(REQUEST_ID_HEADER, requestId)
        if (reply == null) return respondJson(ErrorReply("out of stock"), HttpStatusCode.Conflict)
        respondText(reply, ContentType.Application.Json, HttpStatusCode.Created)
    }

    /** Returns the failure point of this call, if any, and decrements the number of failures that remain. */
    private fun takeFailurePoint(): FailurePoint? {
        val before =
            faults.getAndUpdate {
                val failures = it.failures ?: return@getAndUpdate it
                if (failures <= 1) it.copy(failurePoint = null, failures = null) else it.copy(failures = failures - 1)
            }
        return before.failurePoint
    }

    private fun item(id: String): StockItem = synchronized(lock) { StockItem(id, stockLeft[id] ?: settings.stock) }

    private fun reserve(request: ReservationRequest): Reservation? {
        val remaining = (stockLeft[request.item] ?: settings.stock) - request.quantity
        if (remaining < 0) return null
        stockLeft[request.item] = remaining
        lastId += 1
        return Reservation(lastId, request.item, request.quantity, remaining)
    }

    private fun pay(request: PaymentRequest): Payment {
        lastId += 1
        return Payment(lastId, request.order, request.amountCents)
    }

    private companion object {
        const val RESERVATION = "reservation"
        const val PAYMENT = "payment"
    }
}
