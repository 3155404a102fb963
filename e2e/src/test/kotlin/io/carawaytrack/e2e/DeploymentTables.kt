/*
 * Tables of the deployment: chats on one model version that two upstreams serve, and stock on a plain service.
 */
package io.carawaytrack.e2e

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.Pool
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import java.security.MessageDigest

private val drafting = PoolName("drafting")
private val stock = PoolName("stock-ledger")
private val draftingVersion = ModelVersion("quill-small", "1")
private val stockVersion = ModelVersion("stock", ModelVersion.SERVICE_VERSION)

internal fun deploymentTables(callerKey: String): Tables {
    val digest = MessageDigest.getInstance("SHA-256").digest(callerKey.encodeToByteArray()).toHexString()
    val allowed = listOf(draftingVersion.toString(), stockVersion.toString())
    return Tables(
        organisations = listOf(Organisation(OrganisationName("market-stalls"), listOf(digest), allowed)),
        routes = listOf(chatRoute, stockRoute),
        pools =
            listOf(
                Pool(drafting, ServiceKind.Model, listOf(PoolMember(draftingVersion, expectedQuality = 0.8))),
                Pool(stock, ServiceKind.Service, listOf(PoolMember(stockVersion))),
            ),
    )
}

private val chatRoute =
    Route(
        name = "drafts",
        kind = ServiceKind.Model,
        methods = listOf("POST"),
        pathPrefix = CHAT_PATH,
        model = "draft",
        organisations = listOf("*"),
        pool = drafting,
        timeoutMillis = 30_000,
    )

private val stockRoute =
    Route(
        name = "stock",
        kind = ServiceKind.Service,
        methods = listOf("GET", "POST"),
        pathPrefix = "/stock/",
        organisations = listOf("*"),
        pool = stock,
        repeatableMethods = listOf("GET"),
        timeoutMillis = 15_000,
    )
