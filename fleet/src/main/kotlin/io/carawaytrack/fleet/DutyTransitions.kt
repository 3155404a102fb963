/*
 * Effect of the commands for exclusive duties on the replicated state.
 */
package io.carawaytrack.fleet

/** Number of fixed windows kept: at 5 s each, well beyond the time after which a report is too late. */
internal const val MAX_FIXED_WINDOWS = 8

/** A repeat by the holder has no effect: it would end the holder's own token. */
internal fun FleetView.acquireDuties(
    index: Long,
    command: FleetCommand.AcquireDuties,
): FleetView? {
    val held = dutyGrant?.let { it.holder == command.holder && it.incarnation == command.incarnation } == true
    return if (held) null else with(index, dutyGrant = DutyGrant(command.holder, command.incarnation, token = index))
}

/**
 * Windows are fixed in ascending order only. A window older than the newest fixed one may have been fixed and dropped,
 * and fixing it again could change counts that were already reported.
 */
internal fun FleetView.fixUsage(
    index: Long,
    command: FleetCommand.FixUsage,
): FleetView? {
    if (command.token != dutyGrant?.token) return null
    val fixed = command.window.windowId > usageFixedThrough
    val delivered = command.deliveredThrough > usageDeliveredThrough
    if (!fixed && !delivered) return null
    return with(
        index,
        usage = if (fixed) (usage + command.window).takeLast(MAX_FIXED_WINDOWS) else usage,
        usageDeliveredThrough = maxOf(usageDeliveredThrough, command.deliveredThrough),
    )
}
