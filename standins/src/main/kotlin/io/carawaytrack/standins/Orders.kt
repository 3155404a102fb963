/*
 * Orders to an engine stand-in. The fencing token of an order prevents an outdated order from overriding a newer one,
 * if the engine enforces it.
 */
package io.carawaytrack.standins

import io.carawaytrack.model.ModelVersion
import kotlinx.serialization.Serializable

/** Type of change that an order requests. */
@Serializable
public enum class OrderAction { Load, Unload, LoadAdapter, UnloadAdapter, ChangeRole }

/** Phases of inference that an engine runs. */
@Serializable
public enum class EngineRole { Both, Prefill, Decode }

/**
 * An order to an engine to change what it serves.
 *
 * @property fencingNumber fencing token; an order with a lower one is outdated
 * @property model required together with [version] by [OrderAction.Load] and [OrderAction.Unload]
 */
@Serializable
public data class EngineOrder(
    val fencingNumber: Long,
    val action: OrderAction,
    val model: String? = null,
    val version: String? = null,
    val adapter: String? = null,
    val role: EngineRole? = null,
)

/** Reply to an order. */
@Serializable
public data class OrderReply(
    val applied: Boolean,
    val highestFencingNumber: Long,
    val detail: String? = null,
)

/** Models, adapters and role that an engine serves, and the orders that it has applied. */
@Serializable
public data class EngineState(
    val versions: List<ModelVersion>,
    val adapters: List<String> = emptyList(),
    val role: EngineRole = EngineRole.Both,
    val highestFencingNumber: Long = 0,
    val applied: List<EngineOrder> = emptyList(),
)

internal class OrderProcessor(
    settings: EngineSettings,
) {
    private val lock = Any()
    private val enforcesFencing = settings.enforcesFencing
    private var current = EngineState(settings.versions)

    val state: EngineState get() = synchronized(lock) { current }

    /** Returns the version that [model], as `model` or `model@version`, refers to, or null if it is not loaded. */
    fun resolve(model: String): ModelVersion? =
        state.versions.firstOrNull { it.toString() == model } ?: state.versions.firstOrNull { it.model == model }

    /** Returns the error that makes [order] invalid whatever its fencing token, or null if it is valid. */
    fun validationError(order: EngineOrder): String? = when (order.action) {
        OrderAction.Load, OrderAction.Unload ->
            "expected model and version for ${order.action}, got ${order.model} and ${order.version}"
                .takeIf { order.model == null || order.version == null }
        OrderAction.LoadAdapter, OrderAction.UnloadAdapter ->
            "expected an adapter for ${order.action}, got none".takeIf { order.adapter == null }
        OrderAction.ChangeRole -> "expected a role for ${order.action}, got none".takeIf { order.role == null }
    }

    /** Applies [order] unless the engine enforces fencing and the token is lower than the highest one so far. */
    fun apply(order: EngineOrder): OrderReply = synchronized(lock) {
        val highest = current.highestFencingNumber
        if (enforcesFencing && order.fencingNumber < highest) {
            return OrderReply(
                false,
                highest,
                "expected a fencing token of at least $highest, got ${order.fencingNumber}",
            )
        }
        val updated = current.updatedBy(order)
        current =
            updated.copy(
                highestFencingNumber = maxOf(highest, order.fencingNumber),
                applied = (updated.applied + order).takeLast(MAX_ORDERS),
            )
        OrderReply(true, current.highestFencingNumber)
    }

    private fun EngineState.updatedBy(order: EngineOrder): EngineState {
        val version = ModelVersion(order.model.orEmpty(), order.version.orEmpty())
        val adapter = order.adapter.orEmpty()
        return when (order.action) {
            OrderAction.Load -> copy(versions = versions - version + version)
            OrderAction.Unload -> copy(versions = versions - version)
            OrderAction.LoadAdapter -> copy(adapters = adapters - adapter + adapter)
            OrderAction.UnloadAdapter -> copy(adapters = adapters - adapter)
            OrderAction.ChangeRole -> copy(role = order.role ?: role)
        }
    }

    private companion object {
        const val MAX_ORDERS = 1_000
    }
}
