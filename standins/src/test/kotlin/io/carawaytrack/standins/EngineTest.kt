/*
 * The emulated engine without HTTP: after a restart it has no load. Guards against requests of the crashed engine that
 * still count when the crash is already known, so that a restarted engine looks busy or crashes again.
 */
package io.carawaytrack.standins

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import io.carawaytrack.model.Priority
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class EngineTest {
    private val chat = ChatRequest("quill", listOf(ChatMessage("user", JsonPrimitive("a letter"))))

    private fun engine(settings: EngineSettings) = Engine(settings, AutoAdvancingClock().timing)

    private fun Engine.admit(requestId: String) = admit(requestId, chat, Priority.Interactive)

    @Test
    fun `a crash ends all requests before the one that caused it is refused`() {
        val engine = engine(EngineSettings(memoryTokens = 100, answerTokens = 60))
        expectThat(engine.admit("running").isOk).isTrue()
        expectThat(engine.admit("excessive").getError()).isEqualTo(EngineRefusal.Overloaded)
        expectThat(engine.currentLoad().queuedTokens).isEqualTo(0)
        expectThat(engine.counters.report().total).isEqualTo(ExecutionCounts(started = 2, failed = 2))
    }

    @Test
    fun `requests from before a restart do not use up the capacity of the cold start`() {
        val engine = engine(EngineSettings(coldStartMillis = 60_000, coldCapacity = 1))
        engine.admit("running")
        engine.replaceFaults(EngineFaults(restartCold = true))
        expectThat(engine.admit("next").isOk).isTrue()
        expectThat(engine.counters.report().restarts).isEqualTo(1)
    }

    @Test
    fun `a token of a crashed request is not subtracted twice`(): Unit = runBlocking {
        val engine = engine(EngineSettings(answerTokens = 4))
        val reason =
            engine.run(engine.admit("running").unwrap()) {
                if (engine.counters.report().restarts == 0L) engine.replaceFaults(EngineFaults(restartCold = true))
            }
        expectThat(reason).isEqualTo(StopReason.Crashed)
        expectThat(engine.currentLoad().queuedTokens).isEqualTo(0)
    }
}
