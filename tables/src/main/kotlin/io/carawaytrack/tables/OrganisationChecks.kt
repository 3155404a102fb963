/*
 * Validates organisations.
 */
package io.carawaytrack.tables

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation

private const val MAX_SHARE = 1_000

private val shareRange = 1..MAX_SHARE
private val digestPattern = Regex("[0-9a-f]{64}")

/** Returns all faults of [organisations]. */
internal fun checkOrganisations(organisations: List<Organisation>): List<Fault> {
    val faults = FaultList(ROUTES_TABLE)
    faults.checkDistinct(organisations.map(Organisation::name)) { "organisation[$it].name" }
    organisations.forEachIndexed {
        index,
        organisation,
        ->
        faults.checkOrganisation("organisation[$index]", organisation)
    }
    faults.checkDistinctDigests(organisations)
    return faults.found
}

private fun FaultList.checkOrganisation(
    row: String,
    organisation: Organisation,
) {
    checkName("$row.name", organisation.name.value)
    checkRange("$row.share", organisation.share, shareRange)
    checkNotEmpty("$row.key_sha256", organisation.keySha256)
    checkNotEmpty("$row.allows", organisation.allows)
    organisation.keySha256.forEachIndexed { n, digest ->
        if (!digestPattern.matches(digest)) add("$row.key_sha256[$n]", digest, "64 lower-case hexadecimal digits")
    }
    organisation.allows.forEachIndexed { n, pattern ->
        if (!isPattern(pattern)) add("$row.allows[$n]", pattern, "a pattern model@version, either part may be *")
    }
}

private fun isPattern(pattern: String): Boolean {
    val parts = ModelVersion.parse(pattern) ?: return false
    return listOf(parts.model, parts.version).all { it == "*" || namePattern.matches(it) }
}

private fun FaultList.checkDistinctDigests(organisations: List<Organisation>) {
    val owners = mutableMapOf<String, Organisation>()
    organisations.forEachIndexed { index, organisation ->
        organisation.keySha256.forEachIndexed { n, digest ->
            val owner = owners.putIfAbsent(digest, organisation)
            if (owner != null) {
                add(
                    "organisation[$index].key_sha256[$n]",
                    digest,
                    "a digest not used by organisation ${owner.name}",
                )
            }
        }
    }
}
