/*
 * Tallies of roll-outs between hosts of this version and of one that times no spans.
 */
package io.carawaytrack.mesh

import io.carawaytrack.fleet.RouteTally
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@OptIn(ExperimentalSerializationApi::class)
class TallyEncodingTest {
    @Serializable
    private data class TallyWithoutSpans(
        val route: String,
        val good: Int = 0,
        val failed: Int = 0,
        val timeMillis: Long = 0,
        val unfinished: Int = 0,
    )

    private val cbor = Cbor { ignoreUnknownKeys = true }

    @Test
    fun `a host that times no spans understands a tally with spans`() {
        val bytes = cbor.encodeToByteArray(RouteTally("r", 3, 1, 900, 2, paced = 3, spanMillis = 480))
        expectThat(cbor.decodeFromByteArray<TallyWithoutSpans>(bytes)).isEqualTo(TallyWithoutSpans("r", 3, 1, 900, 2))
    }

    @Test
    fun `a tally of a host that times no spans has none`() {
        val bytes = cbor.encodeToByteArray(TallyWithoutSpans("r", 3, 1, 900, 2))
        expectThat(cbor.decodeFromByteArray<RouteTally>(bytes)).isEqualTo(RouteTally("r", 3, 1, 900, 2))
    }
}
