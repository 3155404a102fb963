/*
 * The order in which waiting requests get a batch slot of the engine stand-in.
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
    private val started = mutableListOf<String>()
    private val completion = CompletableDeferred<Unit>()

    private fun TestScope.launchRequest(
        name: String,
        priority: Priority,
    ) = launch {
        slots.run(priority) {
            started += name
            completion.await()
        }
    }.also { runCurrent() }

    @Test
    fun `waiting requests run by priority and then by arrival`() = runTest {
        launchRequest("running", Priority.Batch)
        launchRequest("batch", Priority.Batch)
        launchRequest("interactive", Priority.Interactive)
        launchRequest("later interactive", Priority.Interactive)
        expectThat(slots.waiting).isEqualTo(3)
        completion.complete(Unit)
        runCurrent()
        expectThat(started).containsExactly("running", "interactive", "later interactive", "batch")
        expectThat(slots.running).isEqualTo(0)
    }

    @Test
    fun `a request that is cancelled while waiting takes no slot`() = runTest {
        launchRequest("running", Priority.Batch)
        launchRequest("cancelled", Priority.Interactive).cancel()
        launchRequest("batch", Priority.Batch)
        completion.complete(Unit)
        runCurrent()
        expectThat(started).containsExactly("running", "batch")
        expectThat(slots.running).isEqualTo(0)
    }
}
