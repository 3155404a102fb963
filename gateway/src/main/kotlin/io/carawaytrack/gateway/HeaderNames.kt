/*
 * Names of the headers that callers, hosts and upstreams exchange about a request. They are specific to the platform
 * that a gateway serves, so the platform's adapter supplies them.
 */
package io.carawaytrack.gateway

/**
 * Names of request and response headers.
 *
 * @property attemptId identifies one attempt of a caller; upstreams echo it
 * @property deadlineMillis time remaining for a response, in milliseconds
 * @property expectedUpstream identifier of the intended upstream; any other upstream refuses the request
 * @property organisation name of the organisation, set by the gateway
 * @property model model that is to process the request
 * @property tokenUsage number of prompt tokens and maximum number of generated tokens, separated by a comma
 * @property promptParts parts of the prompt in order, as `ID:TOKENS`
 * @property lengthHint the caller's estimate of the generated tokens
 * @property session session that the request belongs to
 * @property urgency scheduling urgency used by engines, from 0 (most urgent) to 9
 * @property signature an upstream's signature over its response
 * @property notExecuted present on a response when the upstream has not executed the request
 * @property load numbers of running requests, waiting requests and slots of an upstream
 * @property limit requests per second that an upstream in need accepts from all hosts together
 * @property coldMillis time for which an upstream remains cold, in milliseconds
 * @property confidence an engine's confidence in its output, 0 to 100
 * @property reserved headers that only the gateway may set on a request, in lower case; values sent by callers are
 *   dropped
 */
public data class HeaderNames(
    val attemptId: String,
    val deadlineMillis: String,
    val expectedUpstream: String,
    val organisation: String,
    val model: String,
    val tokenUsage: String,
    val promptParts: String,
    val lengthHint: String,
    val session: String,
    val urgency: String,
    val signature: String,
    val notExecuted: String,
    val load: String,
    val limit: String,
    val coldMillis: String,
    val confidence: String,
    val reserved: Set<String>,
)
