/*
 * The HTTP interface of the service stand-in: operations, failures before and after they run, and the counters.
 */
package io.carawaytrack.standins

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import java.io.IOException

class ServiceStandInTest {
    private fun withService(check: (ServiceStandIn, StandInClient) -> Unit) = ServiceStandIn(
        ServiceSettings(stock = 5),
        AutoAdvancingClock().timing,
    ).use { check(it, StandInClient(it.port)) }

    private fun StandInClient.reserve(
        quantity: Int,
        requestId: String = "r1",
    ) = post("/stock/reservations", """{"item":"spring","quantity":$quantity}""", REQUEST_ID_HEADER to requestId)

    private data class Case(
        val name: String,
        val path: String,
        val body: String,
        val status: Int,
        val expectedText: String,
    )

    private val cases =
        listOf(
            Case("a reservation", "/stock/reservations", """{"item":"spring","quantity":2}""", 201, """"left":3"""),
            Case(
                "a quantity above the stock",
                "/stock/reservations",
                """{"item":"spring","quantity":6}""",
                409,
                "out of stock",
            ),
            Case("a payment", "/payments", """{"order":"o1","amountCents":250}""", 201, """"payment":1"""),
            Case("a body that is not JSON", "/payments", "{", 400, "JSON"),
        )

    @TestFactory
    fun `calls get a response`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            withService { _, calls ->
                val response = calls.post(case.path, case.body)
                expectThat(response.statusCode()).isEqualTo(case.status)
                expectThat(response.body()).contains(case.expectedText)
            }
        }
    }

    @Test
    fun `a reservation sent twice runs twice`() = withService { standIn, calls ->
        repeat(2) { calls.reserve(1) }
        expectThat(
            standIn.counters.requests
                .getValue("r1")
                .counts.started,
        ).isEqualTo(2)
        expectThat(calls.get("/stock/items/spring").body()).contains(""""left":3""")
    }

    @Test
    fun `a call that fails before running has no effect`() = withService { standIn, calls ->
        standIn.replaceFaults(ServiceFaults(failurePoint = FailurePoint.BeforeRunning, failures = 1))
        expectThat(calls.reserve(1).statusCode()).isEqualTo(503)
        expectThat(standIn.counters.total.started).isEqualTo(0)
        expectThat(calls.reserve(1).statusCode()).isEqualTo(201)
    }

    @Test
    fun `a call that fails after running has its effect without a response`() = withService { standIn, calls ->
        calls.post("/faults", """{"failurePoint":"AfterRunning"}""")
        expectCatching { calls.reserve(1) }.isFailure().isA<IOException>()
        expectThat(
            standIn.counters.requests
                .getValue("r1")
                .counts.completed,
        ).isEqualTo(1)
        expectThat(calls.get("/stock/items/spring").body()).contains(""""left":4""")
    }
}
