/*
 * Responses to failures: a status that implies that the request was not executed is sent only when that is certain.
 */
package io.carawaytrack.gateway

import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class LocalReplyTest {
    @TestFactory
    fun `no kind implies non-execution of a request that may have run`(): List<DynamicTest> = ErrorKind.entries
        .flatMap { kind ->
            listOf(Execution.MayHaveRun, Execution.Ran).map { kind to it }
        }.map { (kind, ran) ->
            dynamicTest("$kind $ran") {
                expectThat(localReplyTo(Failure(kind, ran)).status in setOf(408, 421, 429, 503)).isFalse()
            }
        }

    @TestFactory
    fun `a kind keeps its status when the request has not run`(): List<DynamicTest> = ErrorKind.entries.map { kind ->
        dynamicTest("$kind") {
            expectThat(localReplyTo(Failure(kind, Execution.NotRun)).status).isEqualTo(kind.status)
        }
    }
}
