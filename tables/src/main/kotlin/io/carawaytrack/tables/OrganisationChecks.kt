/*
 * What organisations must fulfil.
 */
package io.carawaytrack.tables

import io.carawaytrack.model.ModelVersion
import io.carawaytrack.model.Organisation

private const val HIGHEST_SHARE = 1_000

private val shares = 1..HIGHEST_SHARE
private val digestForm = Regex("[0-9a-f]{64}")

/** Returns every fault of [organisations]. */
internal fun checkOrganisations(organisations: List<Organisation>): List<Fault> {
    val faults = FaultList(ROUTES_TABLE)
    faults.checkDistinct(organisations.map(Organisation::name)) { "organisation[$it].name" }
    organisations.forEachIndexed {
        index,
        organisation,
        ->
        faults.checkOrganisation("organisation[$index]", organisation)
    }
    faults.checkDigestOwners(organisations)
    return faults.found
}

private fun FaultList.checkOrganisation(
    row: String,
    organisation: Organisation,
) {
    checkName("$row.name", organisation.name.value)
    checkRange("$row.share", organisation.share, shares)
    checkNotEmpty("$row.key_sha256", organisation.keySha256)
    checkNotEmpty("$row.allows", organisation.allows)
    organisation.keySha256.forEachIndexed { n, digest ->
        if (!digestForm.matches(digest)) add("$row.key_sha256[$n]", digest, "64 lower-case hexadecimal digits")
    }
    organisation.allows.forEachIndexed { n, pattern ->
        if (!isPattern(pattern)) add("$row.allows[$n]", pattern, "a pattern model@version, with * for any part")
    }
}

private fun isPattern(pattern: String): Boolean {
    val parts = ModelVersion.parse(pattern) ?: return false
    return listOf(parts.model, parts.version).all { it == "*" || nameForm.matches(it) }
}

private fun FaultList.checkDigestOwners(organisations: List<Organisation>) {
    val owners = mutableMapOf<String, Organisation>()
    organisations.forEachIndexed { index, organisation ->
        organisation.keySha256.forEachIndexed { n, digest ->
            val owner = owners.putIfAbsent(digest, organisation)
            if (owner != null) {
                add("organisation[$index].key_sha256[$n]", digest, "a digest that ${owner.name} does not have already")
            }
        }
    }
}
