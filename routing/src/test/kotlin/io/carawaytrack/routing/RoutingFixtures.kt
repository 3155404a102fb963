/*
 * Small deployments and requests shared by the tests of planning and load balancing.
 */
package io.carawaytrack.routing

import io.carawaytrack.model.Announcement
import io.carawaytrack.model.Configuration
import io.carawaytrack.model.Membership
import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation
import io.carawaytrack.model.OrganisationName
import io.carawaytrack.model.Pool
import io.carawaytrack.model.PoolMember
import io.carawaytrack.model.PoolName
import io.carawaytrack.model.Rollout
import io.carawaytrack.model.Route
import io.carawaytrack.model.ServiceKind
import io.carawaytrack.model.Tables
import io.carawaytrack.model.UpstreamId
import io.carawaytrack.model.UpstreamLoad
import io.carawaytrack.model.ZoneName

internal val small = ModelVersion("pen", "1")
internal val smallNext = ModelVersion("pen", "2")
internal val large = ModelVersion("quill", "1")
internal val draftPool = PoolName("drafts")

internal fun organisation(vararg allows: String): Organisation =
    Organisation(OrganisationName("market"), emptyList(), allows.toList())

internal fun draftRoute(target: Double = 0.8): Route = Route(
    name = "draft",
    kind = ServiceKind.Model,
    methods = listOf("POST"),
    pathPrefix = "/v1",
    model = "draft",
    organisations = listOf("*"),
    pool = draftPool,
    qualityTarget = target,
)

internal val smallMember = PoolMember(small, costPerKiloToken = 1.0, expectedQuality = 0.7)
internal val smallNextMember = PoolMember(smallNext, costPerKiloToken = 0.8, expectedQuality = 0.7)
internal val largeMember = PoolMember(large, costPerKiloToken = 10.0, expectedQuality = 0.95)

internal fun draftTables(vararg members: PoolMember): Tables =
    Tables(pools = listOf(Pool(draftPool, ServiceKind.Model, members.toList())))

internal fun draftConfiguration(
    vararg members: PoolMember = arrayOf(smallMember, smallNextMember, largeMember),
    rollouts: List<Rollout> = emptyList(),
): Configuration = Configuration(tables = draftTables(*members), rollouts = rollouts)

internal fun announced(
    name: String,
    zone: String = "a",
    permits: Int = 4,
    running: Int = 0,
    queuedTokens: Long = 0,
    version: ModelVersion = small,
    incarnation: Long = 1,
    leaving: Boolean = false,
): Announcement = Announcement(
    upstream = UpstreamId(name),
    zone = ZoneName(zone),
    agentHost = "127.0.0.1",
    agentPort = 1,
    incarnation = incarnation,
    versions = listOf(version),
    load = UpstreamLoad(permits, running, queuedTokens),
    leaving = leaving,
)

internal fun membership(
    vararg upstreams: Announcement,
    number: Long = 1,
    complete: Boolean = true,
): Membership = Membership(number, complete, upstreams.toList())
