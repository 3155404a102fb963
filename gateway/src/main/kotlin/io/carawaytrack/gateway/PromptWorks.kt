/*
 * The work that a request would cause on an engine that has none of its prompt cached.
 */
package io.carawaytrack.gateway

import io.carawaytrack.routing.load.PromptWork

/** Returns the work that another attempt with the model at [index] of the route causes. */
internal fun Exchange.promptWork(index: Int): PromptWork = PromptWork(
    unreadTokens = request.demand.promptTokens,
    outputTokens = request.demand.outputTokens,
    // A model that the caller has named is that of the current placement.
    model =
        if (request.gatewayChoosesModel) {
            request.route.models[index]
        } else {
            watch.work
                ?.work
                ?.model
                .orEmpty()
        },
    urgency = request.urgency(),
)
