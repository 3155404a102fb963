/*
 * Distinguishes the crash of an upstream from a single broken connection: an upstream that has crashed does not accept
 * connections. Attempts that break at the same time share one check.
 */
package io.carawaytrack.gateway

import io.carawaytrack.fleet.FleetUpstream
import io.carawaytrack.fleet.PromptParts
import io.carawaytrack.model.HostPort

/**
 * Records crashes in [quarantine] and then calls [crashRecorded]; [checkListening] reports whether an address accepts a
 * connection.
 */
internal class CrashDetector(
    private val checkListening: (HostPort, (Boolean) -> Unit) -> Unit,
    private val quarantine: PromptQuarantine,
    private val crashRecorded: () -> Unit,
) {
    private class Check {
        val requests = ArrayList<CallerRequest>()
        val callbacks = ArrayList<(Boolean) -> Unit>()
    }

    private val checks = HashMap<HostPort, Check>()

    /** Records that an upstream is answering [prompt] without a crash. */
    fun recordSound(prompt: PromptParts) = quarantine.recordSound(prompt)

    /** Records that an upstream has answered [prompt] completely. */
    fun recordAnswered(prompt: PromptParts) = quarantine.recordAnswered(prompt)

    /**
     * Checks [upstream] after an attempt that broke at the beginning of the answer to [request]; then calls [done] with
     * whether the upstream has crashed.
     */
    fun check(
        upstream: FleetUpstream,
        request: CallerRequest,
        done: (Boolean) -> Unit,
    ) {
        val running = checks[upstream.address]
        val check = running ?: Check().also { checks[upstream.address] = it }
        check.requests += request
        check.callbacks += done
        if (running == null) checkListening(upstream.address) { listening -> finish(upstream, listening) }
    }

    private fun finish(
        upstream: FleetUpstream,
        listening: Boolean,
    ) {
        val check = checks.remove(upstream.address) ?: return
        if (!listening) {
            val suspects = check.requests.map(::fieldsOf)
            logEvent("upstream_crashed", mapOf("upstream" to upstream.id.value, "requests" to suspects))
            quarantine.recordCrash(upstream.id, upstream.startedAtMillis, check.requests.map { it.prompt })
            crashRecorded()
        }
        check.callbacks.forEach { it(!listening) }
    }
}

private fun fieldsOf(request: CallerRequest): Map<String, Any?> = mapOf(
    "requestId" to request.id,
    "route" to request.route.name,
    "organisation" to request.organisation?.name?.value,
    "prompt" to request.prompt,
)
