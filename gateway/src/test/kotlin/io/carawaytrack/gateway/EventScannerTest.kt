/*
 * Splitting of a byte stream into the complete events that are forwarded to the caller.
 */
package io.carawaytrack.gateway

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class EventScannerTest {
    private class Case(
        val name: String,
        val received: List<String>,
        val forwarded: String,
        val lastId: String?,
        val atBoundary: Boolean = true,
        val resumedAfter: String? = null,
    )

    @TestFactory
    fun `only complete events that the caller has not received are forwarded`(): List<DynamicTest> = listOf(
        Case("one event", listOf("id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n", "1"),
        Case("an event in three parts", listOf("id: 1\nda", "ta: a\n", "\n"), "id: 1\ndata: a\n\n", "1"),
        Case("two events at once", listOf("id: 1\n\nid: 2\n\n"), "id: 1\n\nid: 2\n\n", "2"),
        Case("an incomplete event at the end", listOf("id: 1\n\nid: 2\nda"), "id: 1\n\n", "1", atBoundary = false),
        Case("carriage returns", listOf("id: 7\r\ndata: a\r\n\r\n"), "id: 7\r\ndata: a\r\n\r\n", "7"),
        Case("an id that isn't the first field", listOf("version: 3\nid: 4\n\n"), "version: 3\nid: 4\n\n", "4"),
        Case("no id", listOf("data: a\n\n"), "data: a\n\n", null),
        Case(
            "events that the caller has received",
            listOf("id: 4\n\nid: 5\n\nid: 6\n\n"),
            "id: 6\n\n",
            "6",
            resumedAfter = "5",
        ),
        Case("a duplicate event in the middle", listOf("id: 1\n\nid: 1\n\nid: 2\n\n"), "id: 1\n\nid: 2\n\n", "2"),
    ).map { case ->
        dynamicTest(case.name) {
            val scanner = EventScanner(case.resumedAfter)
            val forwarded =
                case.received.joinToString("") { part ->
                    val bytes = Unpooled.copiedBuffer(part, Charsets.US_ASCII)
                    val events = scanner.append(bytes, ByteBufAllocator.DEFAULT)
                    events.toString(Charsets.US_ASCII).also { events.release() }
                }
            expectThat(forwarded).isEqualTo(case.forwarded)
            expectThat(scanner.lastId).isEqualTo(case.lastId)
            expectThat(scanner.isAtBoundary).isEqualTo(case.atBoundary)
        }
    }

    private class BoundaryCase(
        val received: List<String>,
        val reached: Boolean,
    )

    @TestFactory
    fun `a stream that is forwarded as it arrives is at a boundary after an empty line`(): List<DynamicTest> = listOf(
        BoundaryCase(emptyList(), reached = true),
        BoundaryCase(listOf("id: 1\n\n"), reached = true),
        BoundaryCase(listOf("id: 1\n", "\n"), reached = true),
        BoundaryCase(listOf("id: 1\r\n\r", "\n"), reached = true),
        BoundaryCase(listOf("id: 1\r", "\n", "\r", "\n"), reached = true),
        BoundaryCase(listOf("id: 1\n"), reached = false),
        BoundaryCase(listOf("id: 1\n\n", "i"), reached = false),
        BoundaryCase(listOf("id: 1\r\n\r"), reached = false),
        BoundaryCase(listOf("id: 1\n\ndata: 2\n"), reached = false),
    ).map { case ->
        dynamicTest(case.received.toString()) {
            val boundary = EventBoundary()
            case.received.forEach { boundary.append(Unpooled.copiedBuffer(it, Charsets.US_ASCII)) }
            expectThat(boundary.isReached).isEqualTo(case.reached)
        }
    }
}
