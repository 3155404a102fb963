/*
 * A small stand-in for the control hosts: it passes changes of the configuration and the agents' announcements on to
 * the entries, each after a delay of its own.
 */
package io.carawaytrack.replay

import io.carawaytrack.model.Configuration
import io.carawaytrack.model.Membership
import kotlin.random.Random

internal class ControlModel(
    private val world: World,
    private val entries: List<EntryModel>,
    private val random: Random,
) {
    private var announced = 0L

    var configuration: Configuration = world.spec.configuration
        private set

    fun start(untilMillis: Double) {
        val first = membership()
        entries.forEach { it.chooser.update(first) }
        world.events.every(ANNOUNCEMENT_MILLIS, untilMillis) { announce() }
    }

    fun change(edit: (Configuration) -> Configuration) {
        configuration = edit(configuration).copy(number = configuration.number + 1)
        val accepted = configuration
        entries.forEach { entry ->
            world.events.after(delayMillis(CHANGE_DELAY_MILLIS)) {
                if (accepted.number > entry.configuration.number) entry.configuration = accepted
            }
        }
    }

    private fun announce() {
        val snapshot = membership()
        entries.forEach { entry ->
            world.events.after(delayMillis(ANNOUNCEMENT_DELAY_MILLIS)) { entry.chooser.update(snapshot) }
        }
    }

    private fun membership() = Membership(++announced, complete = true, world.agents.values.map { it.announcement() })

    private fun delayMillis(range: ClosedFloatingPointRange<Double>) =
        random.nextDouble(range.start, range.endInclusive)

    private companion object {
        const val ANNOUNCEMENT_MILLIS = 1_000.0
        val ANNOUNCEMENT_DELAY_MILLIS = 100.0..900.0
        val CHANGE_DELAY_MILLIS = 50.0..1_500.0
    }
}
