/*
 * The names of the headers by which callers, hosts and upstreams talk about a request. They belong to the platform that
 * a gateway serves, so its adapter hands them in.
 */
package io.carawaytrack.gateway

/**
 * Names the headers of requests and answers.
 *
 * @property attemptId identifies one attempt of a caller; upstreams repeat it
 * @property deadlineMillis time that is left for an answer
 * @property expectedUpstream identifier of the upstream that is meant; any other one refuses
 * @property organisation name of the organisation, set by the gateway
 * @property model model that is to answer
 * @property tokenUsage prompt tokens and most generated tokens, separated by a comma
 * @property promptParts parts of the prompt in order, as `ID:TOKENS`
 * @property lengthHint the caller's estimate of the generated tokens
 * @property session names the session that a request belongs to
 * @property urgency urgency that engines go by, 0 first to 9
 * @property signature an upstream's signature over its answer
 * @property notExecuted present on an answer of an upstream that has not run the request
 * @property load running requests, waiting requests and slots of an upstream
 * @property coldMillis time for which an upstream stays cold
 * @property confidence an engine's own opinion of its answer, 0 to 100
 * @property reserved headers that only the gateway may set on a request; a caller's are dropped
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
    val coldMillis: String,
    val confidence: String,
    val reserved: Set<String>,
)
