/*
 * Invalid input that must not reach a route or an upstream: keys, paths, models and chat bodies.
 */
package io.carawaytrack.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.ErrorKind
import io.carawaytrack.model.Execution
import io.carawaytrack.model.Failure
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.security.MessageDigest
import kotlin.random.Random

private const val SEED_COUNT = 500

class BadInputTest {
    private val digest = MessageDigest.getInstance("SHA-256").digest("counter".encodeToByteArray()).toHexString()
    private val market = Organisation(OrganisationName("market"), listOf(digest.uppercase()), listOf("pen@*"))
    private val stalls = Organisation(OrganisationName("stalls"), emptyList(), emptyList())
    private val drafts = route("drafts", "/v1/chat", model = "draft", organisations = listOf("market"))
    private val stock = route("stock", "/stock", model = null, organisations = listOf("*"))
    private val table =
        RouteTable(Configuration(1, Tables(organisations = listOf(market, stalls), routes = listOf(drafts, stock))))

    private fun route(
        name: String,
        prefix: String,
        model: String?,
        organisations: List<String>,
    ) = Route(
        name = name,
        kind = if (model == null) ServiceKind.Service else ServiceKind.Model,
        methods = listOf("POST"),
        pathPrefix = prefix,
        model = model,
        organisations = organisations,
        pool = PoolName(name),
    )

    private class Case(
        val name: String,
        val kind: ErrorKind?,
        val outcome: () -> Result<*, Failure>,
    )

    private val cases =
        listOf(
            Case("a known key", null) { table.organisation("Bearer counter") },
            Case("no key", ErrorKind.MissingKey) { table.organisation(null) },
            Case("another scheme", ErrorKind.MissingKey) { table.organisation("Basic counter") },
            Case("an unknown key", ErrorKind.UnknownKey) { table.organisation("Bearer till") },
            Case("an empty key", ErrorKind.UnknownKey) { table.organisation("Bearer ") },
            Case("the digest in place of the key", ErrorKind.UnknownKey) { table.organisation("Bearer $digest") },
            Case("a route", null) { table.routes(market, "POST", "/v1/chat/completions") },
            Case("an unknown path", ErrorKind.UnknownRoute) { table.routes(market, "POST", "/v2") },
            Case("another method", ErrorKind.UnknownRoute) { table.routes(market, "GET", "/v1/chat") },
            Case("another organisation's route", ErrorKind.UnknownRoute) { table.routes(stalls, "POST", "/v1/chat") },
            Case("a model", null) { table.modelRoute(listOf(drafts), "draft") },
            Case("an unknown model", ErrorKind.UnknownModel) { table.modelRoute(listOf(drafts, stock), "pen") },
            chat("a chat", null, """{"model":"draft","messages":[]}"""),
            chat("malformed JSON", ErrorKind.MalformedRequest, """{"model":"draft","messages":[}"""),
            chat("an empty body", ErrorKind.MalformedRequest, ""),
            chat("an array", ErrorKind.MalformedRequest, "[]"),
            chat("no model", ErrorKind.MalformedRequest, """{"messages":[]}"""),
            chat("a model that is not a string", ErrorKind.MalformedRequest, """{"model":{},"messages":[]}"""),
            chat("no messages", ErrorKind.MalformedRequest, """{"model":"draft"}"""),
            chat("messages that are not an array", ErrorKind.MalformedRequest, """{"model":"draft","messages":"x"}"""),
        )

    private fun chat(
        name: String,
        kind: ErrorKind?,
        body: String,
    ) = Case(name, kind) { ChatBody.parse(body.encodeToByteArray()) }

    @TestFactory
    fun `invalid input is refused as not run`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            val failure = case.outcome().getError()
            expectThat(failure?.kind).isEqualTo(case.kind)
            if (failure != null) expectThat(failure.execution).isEqualTo(Execution.NotRun)
        }
    }

    @Test
    fun `a corrupted or random chat body is handled without an exception`() {
        val valid = """{"model":"draft","messages":[{"role":"user","content":"a letter"}]}""".encodeToByteArray()
        repeat(SEED_COUNT) { seed ->
            val random = Random(seed)
            val bytes = valid.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
            val failure = ChatBody.parse(bytes).getError()
            if (failure != null) expectThat(failure.kind).describedAs("$seed").isEqualTo(ErrorKind.MalformedRequest)
            expectThat(ChatBody.parse(random.nextBytes(50)).getError()?.kind).isEqualTo(ErrorKind.MalformedRequest)
        }
    }

    @Test
    fun `a chat body nested too deeply is refused`() {
        val body = "[".repeat(100_000).encodeToByteArray()
        expectThat(ChatBody.parse(body).getError()?.kind).isEqualTo(ErrorKind.MalformedRequest)
    }

    @Test
    fun `only the model of a chat body is changed for the upstream`() {
        val chat = ChatBody.parse("""{"model":"draft","messages":["é"],"n":1.50}""".encodeToByteArray()).get()!!
        expectThat(chat.forVersion(ModelVersion("pen", "1")).decodeToString())
            .isEqualTo("""{"model":"pen","messages":["é"],"n":1.50}""")
    }
}
