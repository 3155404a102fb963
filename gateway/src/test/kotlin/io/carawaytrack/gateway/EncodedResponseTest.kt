/*
 * Responses with a content coding, which callers do not ask for: such a body is not the upstream's own.
 */
package io.carawaytrack.gateway

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class EncodedResponseTest : GatewayFixture() {
    // Guards against a body that was encoded on its way reaching a caller that has not asked for it.
    @ParameterizedTest
    @CsvSource(
        "/lookup/x,200 OK,,200,second",
        "/pay/x,200 OK,,502,the upstream sent an invalid response",
        "/pay/x,500 Oops,,502,the upstream sent an invalid response",
        "/pay/x,503 Service Unavailable,x-not-executed: 1,200,second",
    )
    fun `a response with a content coding is not passed on, unless it states that the request has not run`(
        path: String,
        status: String,
        header: String?,
        expectedStatus: String,
        expectedBody: String,
    ) {
        val headers = "x-seal: s\nContent-Encoding: gzip\n" + header?.let { "$it\n" }.orEmpty()
        serve(
            { _, out, _ -> true.also { out.send(fullResponse(status, "encoded", headers)) } },
            { _, out, _ -> true.also { out.send(fullResponse("200 OK", "second")) } },
        )
        val response = exchange(request(path))
        expectThat(response?.start?.substring(9, 12)).isEqualTo(expectedStatus)
        expectThat(response?.body?.trim()).isEqualTo(expectedBody)
    }
}
