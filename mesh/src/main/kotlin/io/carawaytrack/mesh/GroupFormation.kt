/*
 * A host with a disk becomes a member of the core either by bootstrapping the group of a new fleet or by joining one.
 */
package io.carawaytrack.mesh

/** Time that a host waits for the others before it bootstraps a group: longer than the hosts' start times differ. */
private const val BOOTSTRAP_WAIT_MILLIS = 900L

internal class GroupFormation(
    private val settings: MeshSettings,
    private val peers: Peers,
    private val nowMillis: () -> Long,
) {
    private val startedAtMillis = nowMillis()

    /** Initialises an empty folder, requests to join the group and makes the next membership change, as needed. */
    fun maintain(
        member: CoreMember,
        links: Collection<MeshLink>,
        coreLinks: List<MeshLink>,
        groupExists: Boolean,
    ) {
        if (member.initialised == false) bootstrapOrJoin(links, groupExists)?.let(member::initialise)
        member.joinRequest()?.let { request -> coreLinks.forEach { it.send(request) } }
        member.maintain()
    }

    /** Returns true to bootstrap the group, false to join an existing one, or null while this host must wait. */
    private fun bootstrapOrJoin(
        links: Collection<MeshLink>,
        groupExists: Boolean,
    ): Boolean? {
        if (!settings.bootstrap || groupExists) return false
        if (nowMillis() - startedAtMillis < BOOTSTRAP_WAIT_MILLIS) return null
        return if (peers.bootstrapNode(links) == settings.self.address) true else null
    }
}
