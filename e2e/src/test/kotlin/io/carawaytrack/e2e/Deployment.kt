/*
 * A small deployment of real processes on loopback, which tests kill, freeze, resume, stop and start by name.
 */
package io.carawaytrack.e2e

import io.carawaytrack.demo.DemoClient
import io.carawaytrack.demo.DemoLayout
import io.carawaytrack.demo.DemoProcess
import io.carawaytrack.demo.DemoUpstream
import io.carawaytrack.demo.planDemo
import io.carawaytrack.model.Announcement
import io.carawaytrack.model.ConfigurationChange
import io.carawaytrack.model.StatusReport
import io.carawaytrack.model.ZoneName
import io.carawaytrack.standins.CounterReport
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.ParameterContext
import org.junit.jupiter.api.extension.ParameterResolver
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

internal const val ENGINE_A = "quill-small-a"
internal const val ENGINE_B = "quill-small-b"
internal const val STOCK_A = "stock-a"
internal const val STOCK_B = "stock-b"
internal const val DISABLED_ZONE = "zone-1"
internal const val RECEIVE_MILLIS = 2_000L
internal const val BODY_LIMIT_BYTES = 65_536
internal const val CHAT_PATH = "/v1/chat/completions"
internal const val STATUS_PATH = "/v1/status"
internal const val RESERVATION_PATH = "/stock/reservations"

internal val engines = listOf(ENGINE_A, ENGINE_B)
internal val services = listOf(STOCK_A, STOCK_B)
internal val controlHosts = listOf("control-1", "control-2", "control-3")
internal val entries = listOf("entry-1", "entry-2")

private const val LONG_ANSWER = "--answer-tokens 2000 --token-millis 0.5"
private val javaOptions = listOf("-Xms16m", "-Xmx128m", "-Xss512k", "-XX:+UseSerialGC")
private val mainClasses =
    mapOf(
        "caraway-control" to "io.carawaytrack.control.MainKt",
        "caraway-agent" to "io.carawaytrack.agent.MainKt",
        "caraway-entry" to "io.carawaytrack.entry.MainKt",
        "caraway-standin" to "io.carawaytrack.standins.MainKt",
    )

private val layout =
    DemoLayout(
        upstreams =
            listOf(
                DemoUpstream(ENGINE_A, DISABLED_ZONE, "quill-small", "1", LONG_ANSWER),
                DemoUpstream(ENGINE_B, "zone-2", "quill-small", "1", LONG_ANSWER),
                DemoUpstream(STOCK_A, DISABLED_ZONE, null, "service"),
                DemoUpstream(STOCK_B, "zone-2", null, "service"),
            ),
        entrySettings = "receive_millis = $RECEIVE_MILLIS\nmax_body_bytes = $BODY_LIMIT_BYTES",
    )

/** Starts [command] as the scripts in `bin` do, with its output in files named after [name]. */
internal fun launch(
    folder: Path,
    name: String,
    command: String,
): Process {
    val words = command.split(' ')
    val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
    val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
    return ProcessBuilder(
        listOf(java) + javaOptions + listOf("-cp", classPath, mainClasses.getValue(words[0])) + words.drop(1),
    ).redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("$name.out").toFile()))
        .redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve("$name.log").toFile()))
        .start()
}

/** Waits until the process ends and returns its exit code. */
internal fun Process.exitCodeOf(name: String): Int {
    val ended = waitFor(WAIT_MILLIS.toLong(), TimeUnit.MILLISECONDS)
    if (!ended) destroyForcibly()
    check(ended) { "expected $name to end within $WAIT_MILLIS ms" }
    return exitValue()
}

internal class Deployment(
    val folder: Path,
) : AutoCloseable {
    private val processesInOrder = planDemo(folder, layout)
    private val servers = processesInOrder.filterNot { it.name.endsWith("-init") }
    private val processes = HashMap<String, Process>()
    private val frozen = HashSet<String>()
    private val threads = Executors.newCachedThreadPool { Thread(it, "caller").apply { isDaemon = true } }
    private val json = Json { ignoreUnknownKeys = true }

    val client = DemoClient(folder)
    val addresses = client.addresses

    fun start() {
        processesInOrder
            .filter { it.name.endsWith("-init") }
            .map { it.name to launch(folder, it.name, it.command) }
            .forEach { (name, process) ->
                check(process.exitCodeOf(name) == 0) { "expected $name to exit with code 0" }
            }
        servers.forEach { start(it) }
        awaitAllProcesses()
        changeEverywhere(ConfigurationChange.ApplyTables(deploymentTables(client.callerKey)))
    }

    fun start(name: String): Unit = start(servers.first { it.name == name })

    private fun start(process: DemoProcess) {
        processes[process.name] = launch(folder, process.name, process.command)
    }

    fun kill(name: String) {
        val process = processes.getValue(name)
        process.destroyForcibly()
        process.exitCodeOf(name)
        frozen -= name
    }

    /** Requests a graceful shutdown. */
    fun stop(name: String): Unit = processes.getValue(name).destroy()

    fun exitCode(name: String): Int = processes.getValue(name).exitCodeOf(name)

    fun freeze(name: String) {
        signal("-STOP", name)
        frozen += name
    }

    fun resume(name: String) {
        signal("-CONT", name)
        frozen -= name
    }

    private fun signal(
        signal: String,
        name: String,
    ) {
        val sent = ProcessBuilder("/bin/kill", signal, processes.getValue(name).pid().toString()).start()
        check(sent.exitCodeOf("kill $signal $name") == 0) { "expected $signal to reach $name" }
    }

    /** Restores what the previous test has left frozen, ended, faulty or out of service. */
    fun restore() {
        frozen.toList().forEach(::resume)
        awaitAllProcesses()
        addresses.upstreams.keys.forEach { faults(it, "{}") }
        if (status()?.zonesOut.orEmpty().isNotEmpty()) {
            changeEverywhere(ConfigurationChange.SetZone(ZoneName(DISABLED_ZONE), inService = true))
        }
        awaitServing()
    }

    /** Restarts ended processes; one that has already closed its port may still be reported as alive for a moment. */
    private fun restartEnded() = servers.filterNot { processes.getValue(it.name).isAlive }.forEach { start(it) }

    /** Waits until every entry serves; an entry that has just been started may not listen yet. */
    fun awaitServing(): Unit =
        until("every entry serving") { entries.indices.all { entry -> resultOrNull { chat(entry) }?.status == OK } }

    private fun awaitAllProcesses() {
        until("every stand-in listening") {
            restartEnded()
            addresses.upstreams.keys.all { it.isListening() }
        }
        // A control host that the previous test restarted last may not listen yet, although the others form a quorum.
        until("every control host listening") {
            controlHosts.indices.all { resultOrNull { administer(it, HttpCall(STATUS_PATH)) } != null }
        }
        until("every upstream announced") { announcements().count { !it.leaving } == addresses.upstreams.size }
        val holders = servers.size - addresses.upstreams.size - controlHosts.size
        until("$holders holders") { status()?.holders?.size == holders }
    }

    private fun String.isListening(): Boolean = resultOrNull { counters(this) } != null

    /** Returns the result of [call], null when the port is closed or the connection breaks. */
    fun <T : Any> resultOrNull(call: () -> T): T? = try {
        call()
    } catch (_: IOException) {
        null
    }

    fun until(
        expectation: String,
        condition: () -> Boolean,
    ): Unit = runBlocking { client.until(expectation) { condition() } }

    fun status(): StatusReport? = runBlocking { client.status() }

    fun announcements(): List<Announcement> = status()?.upstreams.orEmpty()

    fun leader(): String {
        until("a leading control host") { status()?.leader != null }
        return checkNotNull(status()?.leader).value
    }

    fun change(change: ConfigurationChange): Long = runBlocking { client.change(change) }

    fun changeEverywhere(change: ConfigurationChange) {
        val number = change(change)
        until("configuration $number everywhere") {
            val holders = status()?.holders.orEmpty()
            holders.isNotEmpty() && holders.all { it.configurationNumber >= number }
        }
    }

    fun counters(upstream: String): CounterReport =
        json.decodeFromString(exchange(addresses.upstreams.getValue(upstream), HttpCall("/counters")).body)

    fun startedRequests(upstreams: List<String>): Long = upstreams.sumOf { counters(it).total.started }

    fun faults(
        upstream: String,
        faults: String,
    ) {
        val headers = mapOf("Content-Type" to "application/json")
        val call = HttpCall("/faults", "POST", headers, faults)
        val answer = exchange(addresses.upstreams.getValue(upstream), call)
        check(answer.status == OK) { "expected $upstream to accept the faults $faults, got $answer" }
    }

    fun callerHeaders(additional: Map<String, String> = emptyMap()): Map<String, String> =
        mapOf("Authorization" to "Bearer ${client.callerKey}", "Content-Type" to "application/json") + additional

    fun chatCall(
        stream: Boolean = false,
        tokens: Int = SHORT_ANSWER_TOKENS,
        text: String = "Draft a petition.",
        model: String = "draft",
    ): HttpCall {
        val message = """{"role":"user","content":"$text"}"""
        val body = """{"model":"$model","stream":$stream,"max_tokens":$tokens,"messages":[$message]}"""
        return HttpCall(CHAT_PATH, "POST", callerHeaders(), body)
    }

    fun chat(entry: Int): HttpAnswer = call(entry, chatCall())

    fun reserve(
        entry: Int,
        key: String,
    ): HttpAnswer {
        val body = """{"item":"drawer-rail","quantity":1}"""
        return call(entry, HttpCall(RESERVATION_PATH, "POST", callerHeaders(mapOf("Idempotency-Key" to key)), body))
    }

    fun call(
        entry: Int,
        call: HttpCall,
    ): HttpAnswer = exchange(addresses.callers[entry], call)

    fun administer(
        host: Int,
        call: HttpCall,
        token: String = client.operatorToken,
    ): HttpAnswer =
        exchange(addresses.administration[host], call.copy(headers = mapOf("Authorization" to "Bearer $token")))

    fun ready(node: String): Boolean = runBlocking { client.ready(node) }

    fun <T> inBackground(work: () -> T): Future<T> = CompletableFuture.supplyAsync(work, threads)

    override fun close() {
        processes.values.forEach(Process::destroyForcibly)
        client.close()
        threads.shutdownNow()
    }

    companion object {
        const val OK = 200
        const val SHORT_ANSWER_TOKENS = 8
    }
}

/** Waits for a result, at most [WAIT_MILLIS]. */
internal fun <T> Future<T>.await(): T = get(WAIT_MILLIS.toLong(), TimeUnit.MILLISECONDS)

/** Provides each test class with the one deployment of the test run, which is closed at the end of the run. */
internal class SharedDeployment : ParameterResolver {
    override fun supportsParameter(
        parameter: ParameterContext,
        context: ExtensionContext,
    ): Boolean = parameter.parameter.type == Deployment::class.java

    override fun resolveParameter(
        parameter: ParameterContext,
        context: ExtensionContext,
    ): Any = context.root
        .getStore(ExtensionContext.Namespace.GLOBAL)
        .getOrComputeIfAbsent(
            Deployment::class.java.name,
            { StartedDeployment(startDeployment()) },
            StartedDeployment::class.java,
        ).deployment

    private fun startDeployment(): Deployment {
        val target = Files.createDirectories(Path.of("target")).toAbsolutePath()
        val deployment = Deployment(Files.createTempDirectory(target, "deployment-"))
        return runCatching { deployment.apply { start() } }
            .onFailure { deployment.close() }
            .getOrThrow()
    }

    private class StartedDeployment(
        val deployment: Deployment,
    ) : AutoCloseable {
        override fun close(): Unit = deployment.close()
    }
}
