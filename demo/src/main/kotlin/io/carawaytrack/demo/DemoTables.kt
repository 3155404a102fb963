/*
 * The two tables of the demo.
 */
package io.carawaytrack.demo

internal fun demoRoutes(keyDigest: String): String =
    """
    |[[organisation]]
    |name = "$DEMO_ORGANISATION"
    |key_sha256 = ["$keyDigest"]
    |allows = ["quill-small@*", "quill-large@*", "stock@service"]
    |
    |[[route]]
    |name = "drafts"
    |kind = "model"
    |methods = ["POST"]
    |path_prefix = "/v1/chat/completions"
    |model = "draft"
    |organisations = ["*"]
    |pool = "drafting"
    |quality_target = 0.6
    |timeout_millis = 60000
    |
    |[[route]]
    |name = "stock"
    |kind = "service"
    |methods = ["GET", "POST"]
    |path_prefix = "/stock/"
    |organisations = ["*"]
    |pool = "stock-ledger"
    |repeatable_methods = ["GET"]
    |timeout_millis = 10000
    |
    """.trimMargin()

internal val DEMO_POOLS: String =
    """
    |[[pool]]
    |name = "drafting"
    |kind = "model"
    |
    |[[pool.member]]
    |model = "quill-small"
    |version = "1"
    |cost_per_kilotoken = 0.2
    |expected_quality = 0.7
    |
    |[[pool.member]]
    |model = "quill-large"
    |version = "1"
    |cost_per_kilotoken = 2.0
    |expected_quality = 0.9
    |
    |[[pool]]
    |name = "stock-ledger"
    |kind = "service"
    |
    |[[pool.member]]
    |service = "stock"
    |
    """.trimMargin()
