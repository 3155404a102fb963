/*
 * How a host with a disk becomes a member of the core: by founding the group of a new fleet, or by joining one.
 */
package io.carawaytrack.mesh

/** Time that a host waits for the others before it founds a group, in milliseconds: above the spread of starts. */
private const val FOUNDING_WAIT_MILLIS = 900L

internal class Formation(
    private val settings: MeshSettings,
    private val peers: Peers,
    private val nowMillis: () -> Long,
) {
    private val startedAtMillis = nowMillis()

    /** Does what is due: initialises an empty folder, asks to join, makes the next change of the members. */
    fun tend(
        member: CoreMember,
        links: Collection<MeshLink>,
        coreLinks: List<MeshLink>,
        groupExists: Boolean,
    ) {
        if (member.initialised == false) mayInitialise(links, groupExists)?.let(member::initialise)
        member.joinRequest()?.let { request -> coreLinks.forEach { it.send(request) } }
        member.maintain()
    }

    /** Returns null while this host must wait, else whether it founds the group (or joins one). */
    private fun mayInitialise(
        links: Collection<MeshLink>,
        groupExists: Boolean,
    ): Boolean? {
        if (!settings.bootstrap || groupExists) return false
        if (nowMillis() - startedAtMillis < FOUNDING_WAIT_MILLIS) return null
        return if (peers.founder(links) == settings.self.address) true else null
    }
}
