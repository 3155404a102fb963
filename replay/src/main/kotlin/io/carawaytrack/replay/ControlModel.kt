/*
 * Simplified model of the control hosts: propagates configuration changes and the agents' announcements to the entries,
 * with an independently drawn delay for each entry.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.Configuration
import io.carawaytrack.model.Membership
import kotlin.random.Random

internal class ControlModel(
    private val state: SimulationState,
    private val entries: List<EntryModel>,
    private val random: Random,
) {
    private var membershipNumber = 0L

    var configuration: Configuration = state.spec.configuration
        private set

    fun start(untilMillis: Double) {
        val initialMembership = membership()
        entries.forEach { it.chooser.update(initialMembership) }
        state.events.every(ANNOUNCEMENT_INTERVAL_MILLIS, untilMillis) { publishMembership() }
    }

    fun updateConfiguration(edit: (Configuration) -> Configuration) {
        configuration = edit(configuration).copy(number = configuration.number + 1)
        val updated = configuration
        entries.forEach { entry ->
            state.events.after(delayMillis(CONFIGURATION_DELAY_MILLIS)) {
                if (updated.number > entry.configuration.number) entry.configuration = updated
            }
        }
    }

    private fun publishMembership() {
        val snapshot = membership()
        entries.forEach { entry ->
            state.events.after(delayMillis(ANNOUNCEMENT_DELAY_MILLIS)) { entry.chooser.update(snapshot) }
        }
    }

    private fun membership() =
        Membership(++membershipNumber, complete = true, state.agents.values.map { it.announcement() })

    private fun delayMillis(range: ClosedFloatingPointRange<Double>) =
        random.nextDouble(range.start, range.endInclusive)

    private companion object {
        const val ANNOUNCEMENT_INTERVAL_MILLIS = 1_000.0
        val ANNOUNCEMENT_DELAY_MILLIS = 100.0..900.0
        val CONFIGURATION_DELAY_MILLIS = 50.0..1_500.0
    }
}
