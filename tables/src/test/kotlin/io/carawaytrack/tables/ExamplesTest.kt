/*
 * Guards against example tables that contain faults.
 */
package io.carawaytrack.tables

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

class ExamplesTest {
    private val deployments = Path.of("..", "examples").listDirectoryEntries().sorted()

    @Test
    fun `both deployments have example tables`() {
        expectThat(deployments.map { it.name }).containsExactly("penmark", "sajha")
    }

    @TestFactory
    fun `each example is valid and has ten organisations`(): List<DynamicTest> = deployments.map { folder ->
        dynamicTest(folder.name) {
            val tables = readTables(folder.resolve("routes.toml"), folder.resolve("pools.toml"))
            expectThat(tables.getError().orEmpty()).isEmpty()
            expectThat(tables.get()?.organisations?.size).isEqualTo(10)
        }
    }
}
