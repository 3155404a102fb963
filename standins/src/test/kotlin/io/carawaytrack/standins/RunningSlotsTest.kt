/*
 * The order in which waiting requests get a slot of the engine stand-in.
 */
package io.carawaytrack.standins

import io.carawaytrack.model.Priority
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

@OptIn(ExperimentalCoroutinesApi::class)
class RunningSlotsTest {
    private val slots = RunningSlots(maxRunning = 1)
    private val ran = mutableListOf<String>()
    private val gate = CompletableDeferred<Unit>()

    private fun TestScope.enter(
        name: String,
        priority: Priority,
    ) = launch {
        slots.run(priority) {
            ran += name
            gate.await()
        }
    }.also { runCurrent() }

    @Test
    fun `waiting requests run by priority and then by arrival`() = runTest {
        enter("running", Priority.Batch)
        enter("batch", Priority.Batch)
        enter("interactive", Priority.Interactive)
        enter("later interactive", Priority.Interactive)
        expectThat(slots.waiting).isEqualTo(3)
        gate.complete(Unit)
        runCurrent()
        expectThat(ran).containsExactly("running", "interactive", "later interactive", "batch")
        expectThat(slots.running).isEqualTo(0)
    }

    @Test
    fun `a request that gives up while waiting takes no slot`() = runTest {
        enter("running", Priority.Batch)
        enter("gives up", Priority.Interactive).cancel()
        enter("batch", Priority.Batch)
        gate.complete(Unit)
        runCurrent()
        expectThat(ran).containsExactly("running", "batch")
        expectThat(slots.running).isEqualTo(0)
    }
}
