/*
 * Orders to an engine stand-in and the fencing number that keeps an old one from passing a new one, where the engine
 * honours it.
 */
package io.carawaytrack.standins

import io.carawaytrack.model.ModelVersion
import kotlinx.serialization.Serializable

/** Tells what an order asks for. */
@Serializable
public enum class OrderAction { Load, Unload, LoadAdapter, UnloadAdapter, ChangeRole }

/** Tells which part of the work an engine does. */
@Serializable
public enum class EngineRole { Both, Prefill, Decode }

/**
 * Orders an engine to change what it serves.
 *
 * @property fencingNumber an order is older than another when its number is lower
 * @property model set for the orders that load or unload, with [version]
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

/** Answers an order. */
@Serializable
public data class OrderReply(
    val applied: Boolean,
    val highestFencingNumber: Long,
    val detail: String? = null,
)

/** Tells what an engine serves. */
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

    /** Finds the version that a request's `model` field asks for, `model` or `model@version`. */
    fun resolve(model: String): ModelVersion? =
        state.versions.firstOrNull { it.toString() == model } ?: state.versions.firstOrNull { it.model == model }

    /** Returns why [order] can not be applied whatever its number, or null. */
    fun validationError(order: EngineOrder): String? = when (order.action) {
        OrderAction.Load, OrderAction.Unload ->
            "model and version are required".takeIf { order.model == null || order.version == null }
        OrderAction.LoadAdapter, OrderAction.UnloadAdapter ->
            "adapter is required".takeIf { order.adapter == null }
        OrderAction.ChangeRole -> "role is required".takeIf { order.role == null }
    }

    /** Applies [order] unless its number is older than one that was seen and the engine honours numbers. */
    fun apply(order: EngineOrder): OrderReply = synchronized(lock) {
        val highest = current.highestFencingNumber
        if (enforcesFencing && order.fencingNumber < highest) {
            return OrderReply(false, highest, "fencing number ${order.fencingNumber} is older than $highest")
        }
        val changed = current.changedBy(order)
        current =
            changed.copy(
                highestFencingNumber = maxOf(highest, order.fencingNumber),
                applied = (changed.applied + order).takeLast(MAX_ORDERS),
            )
        OrderReply(true, current.highestFencingNumber)
    }

    private fun EngineState.changedBy(order: EngineOrder): EngineState {
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
